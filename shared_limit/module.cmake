mimosa_module(shared_limit mimosa_base)
if(TARGET shared_limit_test)
  # The model check takes about 12 s, and some minutes with sanitizers.
  set_tests_properties(shared_limit_test PROPERTIES TIMEOUT 400)
endif()

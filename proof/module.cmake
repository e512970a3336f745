mimosa_module(proof mimosa_query mimosa_backend mimosa_dispatch mimosa_ownership
              mimosa_claim mimosa_config mimosa_membership mimosa_placement
              mimosa_quarantine mimosa_platform mimosa_shared_limit)
add_executable(mimosa-matrix proof/print_matrix_main.cpp)
target_link_libraries(mimosa-matrix PRIVATE mimosa_proof)
if(TARGET proof_test)
  target_compile_definitions(proof_test PRIVATE
    MIMOSA_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  # The fault matrix has 1,237 cells of about 10 s of simulated time each, which
  # take longer with sanitizers.
  set_tests_properties(proof_test PROPERTIES TIMEOUT 400)
endif()

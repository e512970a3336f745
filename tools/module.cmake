function(mimosa_program NAME MAIN)
  add_executable(${NAME} tools/${MAIN} ${ARGN})
  target_link_libraries(${NAME} PRIVATE mimosa_tools mimosa_runtime)
endfunction()

mimosa_module(tools mimosa_runtime mimosa_config mimosa_platform)
mimosa_program(mimosa-kv kv_main.cpp)
mimosa_program(mimosa-backend backend_main.cpp)
mimosa_program(mimosaload load_main.cpp)
<<<<<<< HEAD
mimosa_program(mimosactl ctl_main.cpp)
=======
mimosa_program(mimosa-bare-exchange bare_exchange_main.cpp)
>>>>>>> experiment

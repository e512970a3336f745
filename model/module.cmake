mimosa_module(model mimosa_base mimosa_balance mimosa_gather mimosa_routing)
add_executable(mimosa-model model/model_main.cpp)
target_link_libraries(mimosa-model PRIVATE mimosa_model mimosa_runtime)

mimosa_module(entry mimosa_runtime mimosa_platform mimosa_routing mimosa_balance
              mimosa_gather mimosa_quarantine mimosa_placement
              mimosa_shared_limit mimosa_rollout)
add_executable(mimosa-entry entry/entry_main.cpp)
target_link_libraries(mimosa-entry PRIVATE mimosa_entry)

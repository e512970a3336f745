mimosa_module(daemon mimosa_runtime mimosa_config mimosa_platform
              mimosa_backend mimosa_dispatch mimosa_query mimosa_membership mimosa_ownership mimosa_placement
              mimosa_admission mimosa_quarantine mimosa_abandonment mimosa_claim)
add_executable(mimosad daemon/mimosad_main.cpp)
target_link_libraries(mimosad PRIVATE mimosa_daemon)

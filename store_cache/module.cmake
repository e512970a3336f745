find_package(ZLIB REQUIRED)
mimosa_module(store_cache mimosa_base mimosa_runtime ZLIB::ZLIB)

mimosa_module(backend mimosa_base)

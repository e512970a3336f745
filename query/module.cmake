mimosa_module(query mimosa_backend)

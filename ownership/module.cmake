mimosa_module(ownership mimosa_base)

mimosa_module(admission mimosa_base)

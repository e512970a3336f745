mimosa_module(membership mimosa_base)

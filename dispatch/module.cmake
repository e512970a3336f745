mimosa_module(dispatch mimosa_base)

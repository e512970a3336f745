mimosa_module(config mimosa_base)

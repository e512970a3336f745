mimosa_module(routing mimosa_base nettle)

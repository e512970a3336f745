mimosa_module(quarantine mimosa_base)

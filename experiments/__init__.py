"""Experiments of section 10 of docs/design.md."""

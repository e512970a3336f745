"""The experiments that section 10 of docs/design.md describes."""

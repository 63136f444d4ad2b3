"""Fault soak: runs the real programs under random external faults, with checks."""

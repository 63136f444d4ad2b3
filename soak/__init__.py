"""Soak: the real programs under random faults from outside, checked as they run."""

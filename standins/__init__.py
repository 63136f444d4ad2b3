"""Fake backend servers, platform and trainer, for tests, trials and benchmarks."""

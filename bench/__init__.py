"""Benchmarks: candidate against baseline, interleaved, over real processes."""

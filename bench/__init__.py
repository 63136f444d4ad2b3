"""Benchmarks that compare a candidate with a baseline, interleaved, on processes."""

"""Stand-ins for what surrounds the system; for trials, tests and benchmarks."""

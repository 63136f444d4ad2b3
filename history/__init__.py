"""Recording of concurrent runs under injected faults, and checks of the guarantees."""

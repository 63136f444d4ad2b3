"""History checking: concurrent runs under faults, recorded and then judged."""

"""A flood of internal checks from a process of its own.

``python -m bench.flood RATE SECONDS SEED URL ...``. Of its own, so that the
latency of the callers beside it is not that of their own generator.
"""

import asyncio
import sys

from bench.load import Load

PATH = "/services/parts/check"


def check(chance):
    """Return an internal check."""
    return "GET", PATH, b"", []


if __name__ == "__main__":
    rate, seconds, seed = map(float, sys.argv[1:4])
    asyncio.run(Load(sys.argv[4:], rate, int(seed), check).run(seconds))

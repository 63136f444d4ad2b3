"""Worker stand-in that is listed under the address of a proxy in front of it.

It takes the options of ``standins.users_worker``, and ``--listed-as IP:PORT``.
"""

import sys

from standins import users_worker


def main() -> None:
    """Run the worker with an entry that names the proxy's address."""
    position = sys.argv.index("--listed-as")
    listed = sys.argv[position + 1]
    del sys.argv[position : position + 2]
    entry = users_worker.FakeWorker.table_entry
    users_worker.FakeWorker.table_entry = lambda worker, _: entry(worker, listed)
    users_worker.typer.run(users_worker.main)


if __name__ == "__main__":
    main()

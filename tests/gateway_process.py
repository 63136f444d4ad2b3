"""Runs a gateway in a process of its own, without a port for its metrics.

The port is fixed in the deployment, so that two tests could not run at the same time.
"""

import asyncio
import pathlib
import sys

from gypsumshift import logs
from gypsumshift.lifecycle import serve
from tests import platform_cluster  # noqa: F401  (adds the adapter's folder to sys.path)


def run(path):
    """Run the gateway of a settings file until a signal stops it."""
    import main
    import node_settings

    settings = node_settings.load(path)
    logs.configure(settings.name, "json")
    gateway = main.new_gateway(settings)
    return asyncio.run(serve(gateway, settings.grace))


if __name__ == "__main__":
    sys.exit(run(pathlib.Path(sys.argv[1])))

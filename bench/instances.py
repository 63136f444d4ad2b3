"""Many entries and sidecars in one process, for control-plane experiments.

``python -m bench.instances PLATFORM_PORT SEEDS LOG NAME,ROLE,ZONE,PORT ...`` runs one
instance per specification, with its peer port. Each revision that comes into force in
an instance is appended to LOG as a JSON line.
"""

import asyncio
import json
import sys
import time

from gypsumshift.entry import Entry
from gypsumshift.generated.settings import Settings
from gypsumshift.sidecar import Sidecar

HOST = "127.0.0.1"


def new_instance(spec: str, platform: str, seeds: list[str], log):
    """Create one entry or sidecar that logs each revision that comes into force."""
    name, role, zone, port = spec.split(",")
    settings = Settings(
        name=name,
        role=role,
        zone=zone,
        platform=f"http://{HOST}:{platform}",
        peer_port=int(port),
        seeds=seeds,
        pool="parts" if role == "sidecar" else "",
        backend=name if role == "sidecar" else "",
        backend_url=f"http://{HOST}:9" if role == "sidecar" else "",
    )
    process = (Entry if role == "entry" else Sidecar)(settings)
    original = process.revision_changed

    def revision_changed() -> None:
        original()
        line = {
            "at": time.time(),
            "name": name,
            "number": process.active_revision.number,
        }
        log.write(json.dumps(line) + "\n")

    process.revision_changed = revision_changed
    return process


async def main() -> None:
    """Run all instances until the process is terminated."""
    platform, seeds, path, *specs = sys.argv[1:]
    with open(path, "a", buffering=1) as log:
        for spec in specs:
            await new_instance(spec, platform, seeds.split(","), log).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())

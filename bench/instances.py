"""Many entries and sidecars in one process, for control-plane experiments.

``python -m bench.instances PLATFORM_PORT SEEDS LOG NAME,ROLE,ZONE,POOL ...``; LOG
gets a JSON line for each revision that comes in force.
"""

import asyncio
import json
import sys
import time

from gypsumshift.entry import Entry
from gypsumshift.generated.settings import Settings
from gypsumshift.sidecar import Sidecar

HOST = "127.0.0.1"


def new_instance(word: str, platform: str, seeds: list[str], log):
    """Return one entry or sidecar that logs its revisions."""
    name, role, zone, port = word.split(",")
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
    inner = process.revision_changed

    def revision_changed() -> None:
        inner()
        line = {
            "at": time.time(),
            "name": name,
            "number": process.active_revision.number,
        }
        log.write(json.dumps(line) + "\n")

    process.revision_changed = revision_changed
    return process


async def main() -> None:
    """Run all instances until the process is ended."""
    platform, seeds, path, *words = sys.argv[1:]
    with open(path, "a", buffering=1) as log:
        for word in words:
            await new_instance(word, platform, seeds.split(","), log).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())

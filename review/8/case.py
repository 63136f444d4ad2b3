"""A change of the settings file, told by SIGHUP, ends gateways that are starting."""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time

from gypsumshift.httpclient import FetchError
from review.rolling_stop import Record, StoppedDeployment, is_troubled
from soak.deployment import Process
from standins.users_documents import config

GATEWAYS, TOLD = 4, 2
# Changes of the settings, and time from a start of the process to the next change.
CHANGES, CHANGE_AFTER_S = 3, 0.25
# Time after which the platform restarts a process that has ended.
RESTART_AFTER_S = 0.5
# Time within which a process that is not told of a change becomes ready.
READY_WITHIN_S = 10.0
FOLDER = pathlib.Path(__file__).resolve().parent


def change_settings(process: Process) -> None:
    """Add a field that the process doesn't know to its settings file."""
    settings = pathlib.Path(process.environment["GYPSUMSHIFT_NODE_FILE"])
    settings.write_text(settings.read_text() + "\na.further=field")


async def restart_and_tell(process: Process, record: Record) -> int:
    """Stop a gateway as planned and start it again; return how often it ended itself.

    The platform tells the process of each change of its settings by a SIGHUP, and
    starts it again when it has ended.
    """
    ends = 0
    process.signal(signal.SIGTERM)
    await process.child.wait()
    await process.start()
    record.note(f"{process.name} was stopped as planned, and is started again")
    for _ in range(CHANGES):
        await asyncio.sleep(CHANGE_AFTER_S)
        if is_troubled():
            change_settings(process)
            process.signal(signal.SIGHUP)
            record.note(f"{process.name}: settings changed, SIGHUP")
        await asyncio.sleep(RESTART_AFTER_S)
        if process.child.returncode is not None:
            ends += 1
            record.note(
                f"{process.name} ended by itself, status {process.child.returncode}"
            )
            await process.start()
    return ends


async def play(deployment: StoppedDeployment, record: Record) -> bool:
    """Run the case; return whether the rule is broken."""
    await deployment.start(config(1))
    for number in range(deployment.nodes, GATEWAYS):
        fields = {"listen.front": 8100, "listen.ready": 8101}
        await deployment.add_node(f"gateway-{number}", fields)
    gateways = deployment.of_kind("gateway")
    for gateway in gateways:
        await deployment.until_ready(gateway)
    own = len(gateways) + len(deployment.of_kind("agent"))
    record.note(f"{own} processes of the system are in use")
    ends = await asyncio.gather(
        *(restart_and_tell(gateway, record) for gateway in gateways[:TOLD])
    )
    async with asyncio.timeout(READY_WITHIN_S):
        for gateway in gateways:
            await deployment.until_ready(gateway)
    record.note("all gateways are ready, once no more changes are told")
    fallen = sum(count >= 3 for count in ends)
    record.note(f"{fallen} machines whose processes ended three times by themselves")
    return fallen >= max(2, own / 10)


async def main() -> int:
    """Run the case; return the exit status."""
    record = Record(FOLDER / "record.txt")
    record.note(f"disruption: {'yes' if is_troubled() else 'no'}")
    deployment = None
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            deployment = StoppedDeployment(path, int(time.time()) % 1000, 2)
            try:
                async with asyncio.timeout(100):
                    broken = await play(deployment, record)
            finally:
                await deployment.close()
    except (FetchError, OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        record.write()
        return 2
    record.note("RULE BROKEN" if broken else "rule held")
    record.write()
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

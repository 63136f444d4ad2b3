"""Processes of the contention experiment: gateways and servers with few slots."""

import asyncio
import json
import pathlib
import re
import sys

import attrs

from bench.surge import CallRecord
from bench.surgecallers import SurgePlan
from gypsumshift.policy import ENVIRONMENT_VARIABLE
from soak import deployment
from soak.conditions import Conditions
from soak.deployment import FRONT_PORT, READY_PORT, ROOT, WORKER_PORT, Process

__all__ = ["SERVERS", "SurgeDeployment", "run_callers"]

GATEWAYS, SERVERS = 3, 4
# Size of a gateway's host. It gives the smallest memory budget, 8 MiB, of which large
# bodies of requests may take half: five of those of the flood.
MEMORY_MB = 72


class SurgeDeployment(deployment.Deployment):
    """Gateways, application servers and a store, without engines and agents.

    Parameters
    ----------
    folder : pathlib.Path
    seed : int
    conditions : Conditions
    without : str
        Mechanism that is switched off in the gateways; empty for none.
    """

    def __init__(
        self, folder: pathlib.Path, seed: int, conditions: Conditions, without: str
    ):
        super().__init__(folder, seed, GATEWAYS, conditions)
        self.environment = {ENVIRONMENT_VARIABLE: without}

    async def start(self, first: dict) -> None:
        """Start all processes with a configuration; wait for the gateways."""
        await self.start_platform(first)
        for number in range(SERVERS):
            await self.add_app_server(number)
        for number in range(GATEWAYS):
            fields = {"listen.front": FRONT_PORT, "listen.ready": READY_PORT}
            fields["limits.memory_mb"] = MEMORY_MB
            await self.add_node(f"gateway-{number}", fields)
        for gateway in self.of_kind("gateway"):
            await self.until_ready(gateway)

    async def add_app_server(self, number: int) -> Process:
        """Add and start an application server that reports four figures."""
        store = "{}:{}".format(*self.store_address)
        arguments = ["--port", WORKER_PORT, "--service", "app", "--store", store]
        arguments += ["--slots", self.conditions.app_slots]
        arguments += ["--work-ms", self.conditions.app_work_ms]
        arguments += ["--queue-length", self.conditions.app_queue_length]
        arguments = [*map(str, arguments), "--reports-pace"]
        process = self.add(f"app-{number}", "standins.users_worker", *arguments)
        await process.start()
        return process

    def gateway_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses that callers use."""
        return [(gateway.ip, FRONT_PORT) for gateway in self.of_kind("gateway")]

    def peak_memory_mb(self) -> float:
        """Return the largest resident size that any gateway has had."""
        return max(map(read_peak_memory_mb, self.of_kind("gateway")))


def read_peak_memory_mb(process: Process) -> float:
    """Return the largest resident size that a running process has had."""
    status = pathlib.Path(f"/proc/{process.child.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


async def run_callers(folder: pathlib.Path, name: str, plan: SurgePlan):
    """Run the callers of a plan in a process; return their `CallRecord`."""
    plan_path, records_path = folder / f"{name}.plan", folder / f"{name}.records"
    plan_path.write_text(json.dumps(attrs.asdict(plan)))
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "bench.surgecallers", str(plan_path), str(records_path)),
        cwd=ROOT,
    )
    try:
        code = await child.wait()
    except asyncio.CancelledError:
        child.kill()
        raise
    if code:
        raise RuntimeError(f"callers {name!r} ended with exit code {code}")
    return [CallRecord(**value) for value in json.loads(records_path.read_text())]

"""Experiments: propagation of a configuration change, and cost of idle processes."""

import asyncio
import copy
import json
import pathlib
import time

from bench.overhead import cpu_seconds
from bench.report import Row
from bench.testbed import ZONES, service_source
from gypsumshift import declarations
from standins.deployment import HOST, Deployment, ManagedProcess, free_port

__all__ = ["change", "idle_cost"]

ENTRY_SHARE = 0.2
INSTANCES_PER_PROCESS = 20
SETTLE_TIME_S = 4.0
STARTUP_GOSSIP_TIME_S = 13.0
CHANGE_COUNT = 10
IDLE_TIME_S = 10.0


class InstanceFleet:
    """Many entries and sidecars in a few processes, on one deployment's platform.

    Parameters
    ----------
    deployment : Deployment
        Provides the platform and one entry for operators.
    count : int
        Number of instances, of which a fifth are entries.
    """

    def __init__(self, deployment: Deployment, count: int):
        self.deployment = deployment
        entries = max(1, int(count * ENTRY_SHARE))
        self.specs = []
        for number in range(count):
            role = "entry" if number % (count // entries) == 0 else "sidecar"
            zone = ZONES[number % len(ZONES)]
            self.specs.append(f"{role}-x{number},{role},{zone},{free_port()}")
        self.log = pathlib.Path(deployment.folder) / "revisions.jsonl"
        self.log.touch()
        self.batches: list[ManagedProcess] = []

    def start(self) -> None:
        """Start all instances."""
        for start in range(0, len(self.specs), INSTANCES_PER_PROCESS):
            self.start_batch(start // INSTANCES_PER_PROCESS)

    def start_batch(self, number: int) -> None:
        """Start one process that runs a batch of instances."""
        specs = self.specs[
            number * INSTANCES_PER_PROCESS : (number + 1) * INSTANCES_PER_PROCESS
        ]
        seed = f"{HOST}:{self.deployment.entries()[0].ports['peer']}"
        command = ["bench.instances", str(self.deployment.platform_port), seed]
        command += [str(self.log), *specs]
        self.batches.append(self.deployment.launch(f"batch-{number}", command))

    def in_force_times(self, number: int) -> dict[str, float]:
        """Return when each instance first had this or a later revision in force."""
        in_force_times = {}
        for line in self.log.read_text().splitlines():
            value = json.loads(line)
            if value["number"] >= number:
                in_force_times.setdefault(value["name"], value["at"])
        return in_force_times

    async def until_in_force(self, number: int, timeout: float = 60.0) -> float:
        """Wait until a revision is in force everywhere; return the time of the last."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            in_force_times = self.in_force_times(number)
            if len(in_force_times) == len(self.specs):
                return max(in_force_times.values())
            await asyncio.sleep(0.05)
        names = {spec.partition(",")[0] for spec in self.specs}
        raise RuntimeError(
            f"revision {number} not in force within {timeout:g} s in "
            f"{sorted(names - set(in_force_times))[:10]}"
        )


async def change(quick: bool) -> tuple[list[Row], dict]:
    """Measure the time until an accepted change is in force in all processes.

    The last change is made while a third of the processes is replaced.
    """
    count = 60 if quick else 200
    source = service_source(size=1)
    catalog = declarations.parse(source, "bench")
    latencies, reads = [], 0.0
    async with Deployment(catalog, entries=1) as deployment:
        fleet = InstanceFleet(deployment, count)
        fleet.start()
        await deployment.apply(catalog, "first", 0)
        await fleet.until_in_force(1)
        await asyncio.sleep(SETTLE_TIME_S)
        before, began = await platform_counts(deployment), time.monotonic()
        for number in range(2, 2 + (3 if quick else CHANGE_COUNT)):
            accepted = await apply_change(deployment, source, number)
            latencies.append(await fleet.until_in_force(number) - accepted)
            await asyncio.sleep(1.0)
        after = await platform_counts(deployment)
        reads = (after["reads"] - before["reads"]) / (time.monotonic() - began)
        number += 1
        accepted = await apply_change(deployment, source, number)
        for batch in range(len(fleet.batches) // 3):
            deployment.kill(f"batch-{batch}")
            fleet.start_batch(batch)
        replaced = await fleet.until_in_force(number) - accepted
    worst = max(latencies)
    rows = [
        Row(f"last of {count} processes, worst", worst, 2.0, "s", "<= 1", worst <= 2),
        Row("with a third replaced", replaced, 5.0, "s", "<= 1", replaced <= 5),
        Row("reads of the platform", reads, 100, "1/s", "<= 1", reads <= 100),
    ]
    return rows, {"took": latencies, "replaced": replaced, "processes": count}


async def apply_change(deployment: Deployment, source: dict, number: int) -> float:
    """Apply a changed queue limit as a revision; return when it was accepted."""
    changed = copy.deepcopy(source)
    changed["pools"][0]["queue"] = 100 + number
    catalog = declarations.parse(changed, "bench")
    answer = await deployment.apply(catalog, "change", number - 1)
    if answer.status != 200:
        raise RuntimeError(f"revision {number} was not accepted: {answer.body!r}")
    return time.time()


async def platform_counts(deployment: Deployment) -> dict:
    """Read the platform's counts of reads and writes."""
    address = (HOST, deployment.platform_port)
    answer = await deployment.fetcher.fetch(address, "GET", "/counts")
    return json.loads(answer.body)


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def idle_cost(quick: bool) -> tuple[list[Row], dict]:
    """Measure memory, processor time and traffic of idle processes at several sizes."""
    sizes = (10, 25) if quick else (25, 50, 100)
    measurements = []
    for size in sizes:
        measurements.append(await measure_idle_cost(size))
    last = measurements[-1]
    rows = [
        row_with_limit(
            f"memory of an idle entry among {sizes[-1]}", last["entry_mb"], 48
        ),
        row_with_limit("memory of an idle sidecar", last["sidecar_mb"], 48),
        row_with_limit("processor of an idle entry (%)", last["entry_cpu"] * 100, 0.5),
        row_with_limit(
            "processor of an idle sidecar (%)", last["sidecar_cpu"] * 100, 0.5
        ),
        row_with_limit("traffic of an idle entry (KB/s)", last["entry_kb"], 1),
        row_with_limit("traffic of an idle sidecar (KB/s)", last["sidecar_kb"], 1),
    ]
    return rows, {"measured": measurements}


def row_with_limit(what: str, value: float, limit: float) -> Row:
    """Return a row that compares a value with an upper limit."""
    return Row(what, value, limit, "", "<= 1", value <= limit)


async def measure_idle_cost(size: int) -> dict:
    """Measure the cost of idle entries and sidecars in a deployment of a given size."""
    entries = max(2, int(size * ENTRY_SHARE))
    source = service_source(size=size - entries)
    catalog = declarations.parse(source, "bench")
    async with Deployment(catalog, entries=entries) as deployment:
        await deployment.apply(catalog, "first", 0)
        await deployment.until_in_force(1)
        # Heartbeats are longer for a while, since they still carry changes at start.
        await asyncio.sleep(STARTUP_GOSSIP_TIME_S)
        kinds = {"entry": deployment.entries(), "sidecar": deployment.sidecars()}
        pids = {
            kind: [r.process.pid for r in running] for kind, running in kinds.items()
        }
        before = {kind: cpu_seconds(role_pids) for kind, role_pids in pids.items()}
        bytes_before = await read_peer_bytes_sent(deployment)
        reads = await platform_counts(deployment)
        await asyncio.sleep(IDLE_TIME_S)
        cost_row = {"processes": size, "entries": entries}
        bytes_after = await read_peer_bytes_sent(deployment)
        counts_after = await platform_counts(deployment)
        for kind, role_pids in pids.items():
            used = cpu_seconds(role_pids) - before[kind]
            cost_row[f"{kind}_cpu"] = used / IDLE_TIME_S / len(role_pids)
            cost_row[f"{kind}_mb"] = sum(map(resident_mb, role_pids)) / len(role_pids)
            cost_row[f"{kind}_kb"] = (
                (bytes_after[kind] - bytes_before[kind])
                / IDLE_TIME_S
                / len(role_pids)
                / 1024
            )
        cost_row["platform_reads"] = (
            counts_after["reads"] - reads["reads"]
        ) / IDLE_TIME_S
        cost_row["platform_writes"] = (
            counts_after["writes"] - reads["writes"]
        ) / IDLE_TIME_S
    return cost_row


async def read_peer_bytes_sent(deployment: Deployment) -> dict[str, float]:
    """Return the total bytes sent to peers by entries, and by sidecars."""
    total = {"entry": 0.0, "sidecar": 0.0}
    for row in await deployment.status():
        total[row["role"]] += row["figures"].get("peer_bytes_sent", 0)
    return total

"""Change of configuration to 200 processes, and what idle processes cost."""

import asyncio
import copy
import json
import pathlib
import time

from bench.overhead import cpu_seconds
from bench.report import Row
from bench.scenes import ZONES, service_source
from gypsumshift import declarations
from standins.deployment import HOST, Deployment, ManagedProcess, free_port

__all__ = ["change", "cost"]

ENTRIES_SHARE = 0.2
PER_PROCESS = 20
SETTLE = 4.0
NEWS_OLD = 13.0
CHANGES = 10
IDLE = 10.0


class Crowd:
    """Many instances in a few processes, with one deployment's platform.

    Parameters
    ----------
    deployment : Deployment
        One with a platform and one entry, for operators.
    count : int
        Instances, a fifth of them entries.
    """

    def __init__(self, deployment: Deployment, count: int):
        self.deployment = deployment
        entries = max(1, int(count * ENTRIES_SHARE))
        self.words = []
        for number in range(count):
            role = "entry" if number % (count // entries) == 0 else "sidecar"
            zone = ZONES[number % len(ZONES)]
            self.words.append(f"{role}-x{number},{role},{zone},{free_port()}")
        self.log = pathlib.Path(deployment.folder) / "revisions.jsonl"
        self.log.touch()
        self.batches: list[ManagedProcess] = []

    def start(self) -> None:
        """Start all instances."""
        for start in range(0, len(self.words), PER_PROCESS):
            self.start_batch(start // PER_PROCESS)

    def start_batch(self, number: int) -> None:
        """Start one process with its instances."""
        words = self.words[number * PER_PROCESS : (number + 1) * PER_PROCESS]
        seed = f"{HOST}:{self.deployment.entries()[0].ports['peer']}"
        command = ["bench.instances", str(self.deployment.platform_port), seed]
        command += [str(self.log), *words]
        self.batches.append(self.deployment.launch(f"batch-{number}", command))

    def times(self, number: int) -> dict[str, float]:
        """Return when each instance had a revision in force."""
        times = {}
        for line in self.log.read_text().splitlines():
            value = json.loads(line)
            if value["number"] >= number:
                times.setdefault(value["name"], value["at"])
        return times

    async def until_in_force(self, number: int, timeout: float = 60.0) -> float:
        """Wait until all have a revision in force; return when the last had it."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            times = self.times(number)
            if len(times) == len(self.words):
                return max(times.values())
            await asyncio.sleep(0.05)
        names = {word.partition(",")[0] for word in self.words}
        raise RuntimeError(f"not in force in {sorted(names - set(times))[:10]}")


async def change(quick: bool) -> tuple[list[Row], dict]:
    """From acceptance to the last of the processes, also while some are replaced."""
    count = 60 if quick else 200
    source = service_source(size=1)
    catalog = declarations.parse(source, "bench")
    took, reads = [], 0.0
    async with Deployment(catalog, entries=1) as deployment:
        crowd = Crowd(deployment, count)
        crowd.start()
        await deployment.apply(catalog, "first", 0)
        await crowd.until_in_force(1)
        await asyncio.sleep(SETTLE)
        before, began = await platform_counts(deployment), time.monotonic()
        for number in range(2, 2 + (3 if quick else CHANGES)):
            accepted = await apply_change(deployment, source, number)
            took.append(await crowd.until_in_force(number) - accepted)
            await asyncio.sleep(1.0)
        after = await platform_counts(deployment)
        reads = (after["reads"] - before["reads"]) / (time.monotonic() - began)
        number += 1
        accepted = await apply_change(deployment, source, number)
        for batch in range(len(crowd.batches) // 3):
            deployment.kill(f"batch-{batch}")
            crowd.start_batch(batch)
        replaced = await crowd.until_in_force(number) - accepted
    worst = max(took)
    rows = [
        Row(f"last of {count} processes, worst", worst, 2.0, "s", "<= 1", worst <= 2),
        Row("with a third replaced", replaced, 5.0, "s", "<= 1", replaced <= 5),
        Row("reads of the platform", reads, 100, "1/s", "<= 1", reads <= 100),
    ]
    return rows, {"took": took, "replaced": replaced, "processes": count}


async def apply_change(deployment: Deployment, source: dict, number: int) -> float:
    """Apply a change as the next revision; return when it was accepted."""
    changed = copy.deepcopy(source)
    changed["pools"][0]["queue"] = 100 + number
    catalog = declarations.parse(changed, "bench")
    answer = await deployment.apply(catalog, "change", number - 1)
    if answer.status != 200:
        raise RuntimeError(answer.body)
    return time.time()


async def platform_counts(deployment: Deployment) -> dict:
    """Return the platform's counts of reads and writes."""
    address = (HOST, deployment.platform_port)
    answer = await deployment.fetcher.fetch(address, "GET", "/counts")
    return json.loads(answer.body)


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def cost(quick: bool) -> tuple[list[Row], dict]:
    """Memory, processor time and traffic of idle processes, by their number."""
    sizes = (10, 25) if quick else (25, 50, 100)
    measured = []
    for size in sizes:
        measured.append(await idle_cost(size))
    last = measured[-1]
    rows = [
        limit_row(f"memory of an idle entry among {sizes[-1]}", last["entry_mb"], 48),
        limit_row("memory of an idle sidecar", last["sidecar_mb"], 48),
        limit_row("processor of an idle entry (%)", last["entry_cpu"] * 100, 0.5),
        limit_row("processor of an idle sidecar (%)", last["sidecar_cpu"] * 100, 0.5),
        limit_row("traffic of an idle entry (KB/s)", last["entry_kb"], 1),
        limit_row("traffic of an idle sidecar (KB/s)", last["sidecar_kb"], 1),
    ]
    return rows, {"measured": measured}


def limit_row(what: str, value: float, most: float) -> Row:
    """Return a row that holds a figure against a limit."""
    return Row(what, value, most, "", "<= 1", value <= most)


async def idle_cost(size: int) -> dict:
    """Return what idle processes cost when there are so many."""
    entries = max(2, int(size * ENTRIES_SHARE))
    source = service_source(size=size - entries)
    catalog = declarations.parse(source, "bench")
    async with Deployment(catalog, entries=entries) as deployment:
        await deployment.apply(catalog, "first", 0)
        await deployment.until_in_force(1)
        # What the start told is news for a while, and makes heartbeats longer.
        await asyncio.sleep(NEWS_OLD)
        kinds = {"entry": deployment.entries(), "sidecar": deployment.sidecars()}
        pids = {
            kind: [r.process.pid for r in running] for kind, running in kinds.items()
        }
        before = {kind: cpu_seconds(each) for kind, each in pids.items()}
        sent = await traffic(deployment)
        reads = await platform_counts(deployment)
        await asyncio.sleep(IDLE)
        found = {"processes": size, "entries": entries}
        more = await traffic(deployment)
        reads_after = await platform_counts(deployment)
        for kind, each in pids.items():
            used = cpu_seconds(each) - before[kind]
            found[f"{kind}_cpu"] = used / IDLE / len(each)
            found[f"{kind}_mb"] = sum(map(resident_mb, each)) / len(each)
            found[f"{kind}_kb"] = (more[kind] - sent[kind]) / IDLE / len(each) / 1024
        found["platform_reads"] = (reads_after["reads"] - reads["reads"]) / IDLE
        found["platform_writes"] = (reads_after["writes"] - reads["writes"]) / IDLE
    return found


async def traffic(deployment: Deployment) -> dict[str, float]:
    """Return the bytes that all entries, and all sidecars, have sent to peers."""
    total = {"entry": 0.0, "sidecar": 0.0}
    for row in await deployment.status():
        total[row["role"]] += row["figures"].get("peer_bytes_sent", 0)
    return total

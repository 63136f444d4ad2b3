"""Capacity: the arithmetic of the first letter's sizes, from measured slopes."""

import json

from bench.report import KEPT, REPORTS

__all__ = ["page"]

NODES = 350
WORKERS = 1600
ZONES = 16
REQUESTS = 1400
TRAINERS = 8
SAMPLES = 8192
STEP_SECONDS = 480
GROUP = 16
KEYED_SHARE = 0.1
ROLLOUT_SECONDS = 420
POLLERS = 2
HEADS_PERIOD = 0.5
HOSTS_PERIOD = 10.0
SUBSET = 16
ENTRIES_GREETED = 2
SIDECAR_GREETS = 3
SIDECAR_PERIOD = 4.0
ENTRY_PERIOD = 4.0


def measured() -> dict:
    """Return the newest measurements, or those kept in the repository."""
    found = {}
    for name in ("cost", "overhead"):
        path = REPORTS / f"{name}.json"
        path = path if path.exists() else KEPT / f"{name}.json"
        if path.exists():
            found[name] = json.loads(path.read_text())
    return found


def line(what: str, figure: float, budget: float, unit: str) -> str:
    """Return one figure beside its budget."""
    ratio = figure / budget
    verdict = "fits" if ratio <= 1 else f"{ratio:.1f} x too much"
    return f"{what:52} {figure:10.3g} {budget:10.3g} {unit:6} {verdict}"


def page() -> str:
    """Return all figures, one a line."""
    found = measured()
    if "cost" not in found or "overhead" not in found:
        return "bench: run `python -m bench cost overhead` first"
    cost = found["cost"]["details"]["measured"]
    path = found["overhead"]["rows"][0]["candidate"]
    lines = [f"{'':52} {'figure':>10} {'budget':>10}"]
    lines += platform_lines()
    lines += process_lines(cost, path)
    return "\n".join(lines)


def platform_lines() -> list[str]:
    """Return what the platform sees."""
    heads = ZONES * POLLERS / HEADS_PERIOD
    hosts = NODES / HOSTS_PERIOD
    groups = TRAINERS * SAMPLES / GROUP / STEP_SECONDS
    ticks = TRAINERS * 2 / 0.3
    pulls = TRAINERS * 3 / 0.2
    keyed = REQUESTS * KEYED_SHARE
    fences = WORKERS / ROLLOUT_SECONDS
    reads = heads + hosts + ticks + pulls + keyed + fences + groups * 2
    leases = TRAINERS * 1.0
    writes = 2 * keyed + leases + 3 * groups
    return [
        line("reads for configuration and hosts", heads + hosts, 100, "1/s"),
        line(
            "reads for trainers (drivers and waiting pulls)", ticks + pulls, 1000, "1/s"
        ),
        line("all reads", reads, 2000, "1/s"),
        line(
            f"writes for keys, {KEYED_SHARE:.0%} of requests keyed",
            2 * keyed,
            300,
            "1/s",
        ),
        line(f"objects and rows of groups of {GROUP}", 3 * groups, 100, "1/s"),
        line("all writes", writes, 400, "1/s"),
        line(
            "rows in the transaction that seals a step",
            SAMPLES / GROUP + 2,
            1000,
            "rows",
        ),
    ]


def memory(cost: list[dict], kind: str) -> float:
    """Return the memory of a process among all, by the slope that was measured."""
    first, last = cost[0], cost[-1]
    grown = last[f"{kind}_mb"] - first[f"{kind}_mb"]
    slope = grown / (last["processes"] - first["processes"])
    return last[f"{kind}_mb"] + slope * (NODES + WORKERS - last["processes"])


def process_lines(cost: list[dict], path: float) -> list[str]:
    """Return what an entry and a sidecar spend for control, and on requests."""
    last = cost[-1]
    per_pool = SUBSET + ENTRIES_GREETED
    links_here = min(SUBSET, last["processes"] - last["entries"]) + ENTRIES_GREETED
    scale = max(1.0, per_pool / max(1, links_here))
    calls_in = NODES * SUBSET / WORKERS / ENTRY_PERIOD
    calls_here = last["entries"] * links_here / (last["processes"] - last["entries"])
    greets = SIDECAR_GREETS / SIDECAR_PERIOD
    # A part of the cost is there without any messages: never scale it down.
    side = max(1.0, (calls_in + greets) / (calls_here + greets))
    cores = REQUESTS / path
    return [
        line("entry: processor for control", last["entry_cpu"] * scale * 100, 1.2, "%"),
        line("entry: traffic for control", last["entry_kb"] * scale, 2, "KB/s"),
        line("entry: memory", memory(cost, "entry"), 64, "MB"),
        line(
            "sidecar: processor for control", last["sidecar_cpu"] * side * 100, 1.2, "%"
        ),
        line("sidecar: traffic for control", last["sidecar_kb"] * side, 2, "KB/s"),
        line("sidecar: memory", memory(cost, "sidecar"), 64, "MB"),
        line("cores for the peak's requests, entry and sidecar", cores, NODES, "cores"),
    ]

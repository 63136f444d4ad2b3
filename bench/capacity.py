"""Capacity estimate for the required deployment size, from measured costs."""

import json

from bench.report import COMMITTED_REPORTS, REPORTS

__all__ = ["format_page"]

NODES = 350
WORKERS = 1600
ZONES = 16
REQUESTS_PER_S = 1400
TRAINERS = 8
SAMPLES_PER_STEP = 8192
STEP_TIME_S = 480
GROUP_SIZE = 16
KEYED_SHARE = 0.1
ROLLOUT_TIME_S = 420
POLLERS_PER_ZONE = 2
REVISION_POLL_PERIOD_S = 0.5
HOST_POLL_PERIOD_S = 10.0
SIDECARS_PER_ENTRY = 16
ENTRY_PEERS = 2
SIDECAR_HEARTBEATS = 3
SIDECAR_HEARTBEAT_PERIOD_S = 4.0
ENTRY_HEARTBEAT_PERIOD_S = 4.0


def read_measurements() -> dict:
    """Read the latest results, or else those committed to the repository."""
    results = {}
    for name in ("idle", "overhead"):
        path = REPORTS / f"{name}.json"
        path = path if path.exists() else COMMITTED_REPORTS / f"{name}.json"
        if path.exists():
            results[name] = json.loads(path.read_text())
    return results


def format_line(what: str, figure: float, budget: float, unit: str) -> str:
    """Format one figure beside its budget."""
    ratio = figure / budget
    verdict = "fits" if ratio <= 1 else f"{ratio:.1f} x too much"
    return f"{what:52} {figure:10.3g} {budget:10.3g} {unit:6} {verdict}"


def format_page() -> str:
    """Format all figures, one per line."""
    results = read_measurements()
    if "idle" not in results or "overhead" not in results:
        return (
            "bench: no results of idle and overhead;"
            " run `python -m bench idle overhead` first"
        )
    cost_rows = results["idle"]["details"]["measured"]
    requests_per_cpu_s = results["overhead"]["rows"][0]["candidate"]
    lines = [f"{'':52} {'figure':>10} {'budget':>10}"]
    lines += format_platform_lines()
    lines += format_process_lines(cost_rows, requests_per_cpu_s)
    return "\n".join(lines)


def format_platform_lines() -> list[str]:
    """Format the load on the platform: reads, writes and rows per transaction."""
    revision_reads = ZONES * POLLERS_PER_ZONE / REVISION_POLL_PERIOD_S
    host_reads = NODES / HOST_POLL_PERIOD_S
    group_rate = TRAINERS * SAMPLES_PER_STEP / GROUP_SIZE / STEP_TIME_S
    driver_reads = TRAINERS * 2 / 0.3
    pull_reads = TRAINERS * 3 / 0.2
    keyed_requests = REQUESTS_PER_S * KEYED_SHARE
    fence_reads = WORKERS / ROLLOUT_TIME_S
    total_reads = (
        revision_reads
        + host_reads
        + driver_reads
        + pull_reads
        + keyed_requests
        + fence_reads
        + group_rate * 2
    )
    lease_writes = TRAINERS * 1.0
    total_writes = 2 * keyed_requests + lease_writes + 3 * group_rate
    return [
        format_line(
            "reads for configuration and hosts", revision_reads + host_reads, 100, "1/s"
        ),
        format_line(
            "reads for trainers (drivers and waiting pulls)",
            driver_reads + pull_reads,
            1000,
            "1/s",
        ),
        format_line("all reads", total_reads, 2000, "1/s"),
        format_line(
            f"writes for keys, {KEYED_SHARE:.0%} of requests keyed",
            2 * keyed_requests,
            300,
            "1/s",
        ),
        format_line(
            f"objects and rows of groups of {GROUP_SIZE}", 3 * group_rate, 100, "1/s"
        ),
        format_line("all writes", total_writes, 400, "1/s"),
        format_line(
            "rows in the transaction that seals a step",
            SAMPLES_PER_STEP / GROUP_SIZE + 2,
            1000,
            "rows",
        ),
    ]


def extrapolate_memory_mb(cost_rows: list[dict], kind: str) -> float:
    """Extrapolate a process's memory in MB to the full size from the measured slope."""
    first, last = cost_rows[0], cost_rows[-1]
    grown = last[f"{kind}_mb"] - first[f"{kind}_mb"]
    slope = grown / (last["processes"] - first["processes"])
    return last[f"{kind}_mb"] + slope * (NODES + WORKERS - last["processes"])


def format_process_lines(cost_rows: list[dict], requests_per_cpu_s: float) -> list[str]:
    """Format the resources that entries and sidecars use for control and requests."""
    last = cost_rows[-1]
    peers_in_production = SIDECARS_PER_ENTRY + ENTRY_PEERS
    peers_here = (
        min(SIDECARS_PER_ENTRY, last["processes"] - last["entries"]) + ENTRY_PEERS
    )
    entry_scale = max(1.0, peers_in_production / max(1, peers_here))
    incoming_rate = NODES * SIDECARS_PER_ENTRY / WORKERS / ENTRY_HEARTBEAT_PERIOD_S
    incoming_rate_here = (
        last["entries"] * peers_here / (last["processes"] - last["entries"])
    )
    outgoing_rate = SIDECAR_HEARTBEATS / SIDECAR_HEARTBEAT_PERIOD_S
    # Part of the cost does not depend on messages, so it is never scaled down.
    sidecar_scale = max(
        1.0, (incoming_rate + outgoing_rate) / (incoming_rate_here + outgoing_rate)
    )
    cores = REQUESTS_PER_S / requests_per_cpu_s
    return [
        format_line(
            "entry: processor for control",
            last["entry_cpu"] * entry_scale * 100,
            1.2,
            "%",
        ),
        format_line(
            "entry: traffic for control", last["entry_kb"] * entry_scale, 2, "KB/s"
        ),
        format_line(
            "entry: memory", extrapolate_memory_mb(cost_rows, "entry"), 64, "MB"
        ),
        format_line(
            "sidecar: processor for control",
            last["sidecar_cpu"] * sidecar_scale * 100,
            1.2,
            "%",
        ),
        format_line(
            "sidecar: traffic for control",
            last["sidecar_kb"] * sidecar_scale,
            2,
            "KB/s",
        ),
        format_line(
            "sidecar: memory", extrapolate_memory_mb(cost_rows, "sidecar"), 64, "MB"
        ),
        format_line(
            "cores for the peak's requests, entry and sidecar", cores, NODES, "cores"
        ),
    ]

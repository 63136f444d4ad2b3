"""Checks: the promises, from what callers and backend servers saw."""

import collections
import pathlib

from soak.runs import read_runs
from soak.workload import Observations
from standins.users_worker import event_text

__all__ = ["check_backends", "check_results"]

EVENTS_PER_ITEM = 4


def check_backends(folder: pathlib.Path, seen: Observations) -> list[str]:
    """Return the promises that the backend servers saw broken."""
    wrong = list(seen.violations)
    runs = read_runs(folder, "app")
    counts = collections.Counter(r["request"] for r in runs if "request" in r)
    for request in seen.unrepeatable:
        if counts[request] > 1:
            wrong.append(f"{request}: ran {counts[request]} times")
    for request in seen.refused & seen.unrepeatable:
        if counts[request]:
            wrong.append(f"{request}: said not to have run, and has")
    return wrong + check_orders(read_runs(folder, "engine"))


def check_orders(runs: list[dict]) -> list[str]:
    """Return the orders that came from two holders or with falling fences."""
    wrong = []
    last: dict[str, dict] = {}
    for run in runs:
        order = run.get("order")
        if order is None:
            continue
        before = last.get(run["file"], order)
        if before["holder"] != order["holder"] or before["fence"] > order["fence"]:
            wrong.append(f"{run['file']}: {order} after {before}")
        last[run["file"]] = order
    return wrong


def check_results(job: str, items: set[str], pages: list[list[dict]]) -> list[str]:
    """Return what is wrong with a job's results, as all gateways gave them."""
    wrong = []
    first = pages[0]
    if any(page != first for page in pages):
        wrong.append(f"{job}: two gateways give two orders")
    ids = [result["id"] for result in first]
    if sorted(ids) != sorted(items):
        wrong.append(f"{job}: items are missing or stand twice: {ids}")
    for result in first:
        wrong += check_result(result)
    return wrong


def check_result(result: dict) -> list[str]:
    """Return what is wrong with one result."""
    item = result["id"]
    if result["state"] != "succeeded":
        return [f"{item}: {result['state']}"]
    whole = "\n".join(event_text(item, n) for n in range(1, EVENTS_PER_ITEM + 1))
    wrong = []
    if result["text"] != whole:
        wrong.append(f"{item}: a wrong text")
    if not result["versions"]:
        wrong.append(f"{item}: no versions")
    if not result["score"].endswith(f".score-{item}"):
        wrong.append(f"{item}: the score of another item")
    return wrong

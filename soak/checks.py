"""Check guarantees against the observations of callers and backend servers."""

import collections
import pathlib

from soak.runs import read_runs
from soak.workload import Observations
from standins.users_worker import event_text

__all__ = ["check_backends", "check_results"]

EVENTS_PER_ITEM = 4
# Group and number, which follow the job in the id of an item.
ITEM_ID_PARTS = 2


def check_backends(folder: pathlib.Path, seen: Observations) -> list[str]:
    """Return violations seen by callers or found in the backend servers' run logs."""
    violations = list(seen.violations)
    runs = read_runs(folder, "app")
    counts = collections.Counter(r["request"] for r in runs if "request" in r)
    for request in seen.unrepeatable:
        if counts[request] > 1:
            violations.append(f"{request}: ran {counts[request]} times")
    engine_runs = read_runs(folder, "engine")
    violations += check_refused(runs + engine_runs, seen)
    return violations + check_orders(engine_runs)


def check_refused(runs: list[dict], seen: Observations) -> list[str]:
    """Return requests and jobs of which each attempt was refused, but which ran.

    An attempt with an uncertain outcome may have run before the last one was refused.
    """
    refused = seen.refused.keys() - seen.uncertain
    violations = []
    for run in runs:
        request = run.get("request", "")
        job = request.removeprefix("score-").rsplit("-", ITEM_ID_PARTS)[0]
        if request in refused or job in refused:
            violations.append(f"{request}: was refused as not run, but ran")
    return violations


def check_orders(runs: list[dict]) -> list[str]:
    """Return weight orders from another holder or with a decreased fence."""
    violations = []
    previous: dict[str, dict] = {}
    for run in runs:
        order = run.get("order")
        if order is None:
            continue
        before = previous.get(run["file"], order)
        if before["holder"] != order["holder"] or before["fence"] > order["fence"]:
            violations.append(
                f"{run['file']}: order {order} with another holder or a lower fence "
                f"than {before}"
            )
        previous[run["file"]] = order
    return violations


def check_results(job: str, items: set[str], pages: list[list[dict]]) -> list[str]:
    """Return violations in a job's results, given as one list for each gateway."""
    violations = []
    first = pages[0]
    if any(page != first for page in pages):
        violations.append(f"{job}: gateways return the results in different orders")
    ids = [result["id"] for result in first]
    if sorted(ids) != sorted(items):
        violations.append(f"{job}: items are missing or duplicated: {ids}")
    for result in first:
        violations += check_result(result)
    return violations


def check_result(result: dict) -> list[str]:
    """Return violations in one result."""
    item = result["id"]
    if result["state"] != "succeeded":
        return [f"{item}: state is {result['state']}, not succeeded"]
    expected = "\n".join(event_text(item, n) for n in range(1, EVENTS_PER_ITEM + 1))
    violations = []
    if result["text"] != expected:
        violations.append(f"{item}: its text is not that of its events")
    if not result["versions"]:
        violations.append(f"{item}: no weight versions")
    if not result["score"].endswith(f".score-{item}"):
        violations.append(f"{item}: score of another item")
    return violations

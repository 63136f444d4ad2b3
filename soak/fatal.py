"""Send requests that crash their workers, and check how often they are sent on."""

import asyncio
import collections
import itertools
import pathlib
import random

from soak.deployment import FATAL_TEXT, Deployment
from soak.runs import read_runs
from soak.workload import Workload

__all__ = ["check_fatal_requests", "send_fatal_requests", "wait_all_ready"]

# Range of the time between two such requests, over all gateways.
SEND_GAPS_S = (0.1, 0.6)
# A repeatable and a non-repeatable request, and their relative frequencies.
REQUESTS = (("/app/1", f"{FATAL_TEXT} 1"), ("/once/1", f"{FATAL_TEXT} 2"))
WEIGHTS = (4, 1)
# Crashes after which a request is to be stopped, the time within which all gateways
# receive that, and the number of sends that are still accepted after that time.
CRASH_LIMIT = 3
KNOWN_WITHIN_S = 3.0
MAX_LATE_SENDS = 3


async def send_fatal_requests(workload: Workload, seed: int) -> None:
    """Send fatal requests under new ids; none may be answered with 200."""
    rng = random.Random(f"{seed} fatal")
    for number in itertools.count():
        if workload.stopping:
            return
        ((target, body),) = rng.choices(REQUESTS, WEIGHTS)
        name = f"fatal-{seed}-{number}"
        gateway = rng.choice(workload.deployment.of_kind("gateway"))
        answer = await workload.send_request(
            "POST", target, name, body.encode(), gateway
        )
        if answer is not None and answer[0] == 200:
            workload.seen.violations.append(
                f"{name}: answered with 200, although it crashes its worker"
            )
        if target.startswith("/once"):
            workload.seen.unrepeatable.add(name)
        await asyncio.sleep(rng.uniform(*SEND_GAPS_S))


async def wait_all_ready(deployment: Deployment) -> None:
    """Wait until all gateways are ready."""
    await asyncio.gather(*map(deployment.until_ready, deployment.of_kind("gateway")))


def check_fatal_requests(folder: pathlib.Path, calm_from: float) -> list[str]:
    """Return the requests that were sent again after they had crashed enough workers.

    Only sends after the end of all faults count, since a gateway that is suspended or
    cut off from the store cannot receive reports of crashes.

    Parameters
    ----------
    folder : pathlib.Path
    calm_from : float
        When all faults had ended, as Unix time in seconds.
    """
    runs: dict[str, list[float]] = collections.defaultdict(list)
    for run in read_runs(folder, "app"):
        if "fatal" in run:
            runs[run["fatal"]].append(run["at"])
    violations = []
    for body, started_at in runs.items():
        started_at.sort()
        if len(started_at) <= CRASH_LIMIT:
            continue
        known_at = max(started_at[CRASH_LIMIT - 1], calm_from) + KNOWN_WITHIN_S
        late = [at for at in started_at if at > known_at]
        if len(late) > MAX_LATE_SENDS:
            violations.append(
                f"{body}: sent {len(late)} times after all gateways had had "
                f"{KNOWN_WITHIN_S} s to receive its {CRASH_LIMIT} crashes"
            )
    return violations

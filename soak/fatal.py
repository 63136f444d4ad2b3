"""Fatal requests: callers whose requests end the workers that run them."""

import asyncio
import collections
import itertools
import pathlib
import random

from soak.deployment import FATAL_TEXT, Deployment
from soak.runs import read_runs
from soak.workload import Workload

__all__ = ["wait_all_ready", "check_fatal_requests", "send_fatal_requests"]

# Seconds between two such requests, at any gateway.
SEND_GAPS_S = (0.1, 0.6)
# One that may be repeated and one that may not, and how often each is sent.
REQUESTS = (("/app/1", f"{FATAL_TEXT} 1"), ("/once/1", f"{FATAL_TEXT} 2"))
WEIGHTS = (4, 1)
# Workers that may end under one, seconds within which all gateways know, and sends
# that they may make later.
CRASH_LIMIT = 3
KNOWN_WITHIN_S = 3.0
MAX_LATE_SENDS = 3


async def send_fatal_requests(workload: Workload, seed: int) -> None:
    """Send them again and again under new ids; each must be said to have failed."""
    chance = random.Random(f"{seed} fatal")
    for number in itertools.count():
        if workload.stopping:
            return
        ((target, body),) = chance.choices(REQUESTS, WEIGHTS)
        name = f"fatal-{seed}-{number}"
        gateway = chance.choice(workload.deployment.of_kind("gateway"))
        answer = await workload.send_request(
            "POST", target, name, body.encode(), gateway
        )
        if answer is not None and answer[0] == 200:
            workload.seen.violations.append(
                f"{name}: answered, though its worker ended"
            )
        if answer is not None and answer[0] in (429, 503):
            workload.seen.refused.add(name)
        if target.startswith("/once"):
            workload.seen.unrepeatable.add(name)
        await asyncio.sleep(chance.uniform(*SEND_GAPS_S))


async def wait_all_ready(deployment: Deployment) -> None:
    """Wait until all gateways say that they are ready."""
    await asyncio.gather(*map(deployment.until_ready, deployment.of_kind("gateway")))


def check_fatal_requests(folder: pathlib.Path, calm_from: float) -> list[str]:
    """Return the requests that were sent on after they had ended enough workers.

    Only what was sent in the calm behind all faults counts: a gateway that is frozen
    or cut off cannot know. ``calm_from`` is in seconds since 1970.
    """
    runs: dict[str, list[float]] = collections.defaultdict(list)
    for run in read_runs(folder, "app"):
        if "fatal" in run:
            runs[run["fatal"]].append(run["at"])
    wrong = []
    for body, begun in runs.items():
        begun.sort()
        if len(begun) <= CRASH_LIMIT:
            continue
        known_at = max(begun[CRASH_LIMIT - 1], calm_from) + KNOWN_WITHIN_S
        late = [at for at in begun if at > known_at]
        if len(late) > MAX_LATE_SENDS:
            wrong.append(f"{body}: sent {len(late)} times after all could know")
    return wrong

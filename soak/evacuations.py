"""Evacuate zones of a deployment from time to time, and check the arrivals there."""

import asyncio
import json
import pathlib
import random
import time
from collections.abc import Callable

import attrs

from gypsumshift.httpclient import FetchError
from soak.deployment import Deployment
from soak.disturbances import Disturbance, Disturbances
from soak.runs import read_runs

__all__ = ["FAULT_GAP_S", "Evacuation", "Evacuator", "check_evacuations"]

# Half of the longest time between the starts of two faults in a run with evacuations.
# With more faults, there is always one that excuses an arrival.
FAULT_GAP_S = 4.0

# Time from the store's answer to the operator until nothing may arrive in the zone; and
# time for which a process must have run undisturbed to be in touch with the store.
BOUND_S = 5.0
CONTACT_S = 4.0
# Shortest and longest time of an evacuation, and longest time between two.
EVACUATION_S = (1.0, 14.0)
MAX_PAUSE_S = 3.0
# Time after the end of an evacuation in which refusals are excused: processes learn of
# it, and engines have to report first.
RETURN_S = 4.0
# Share of the evacuations that concern two zones, and that are ordered again at once.
TWO_ZONES_SHARE, AGAIN_SHARE = 0.3, 0.3


@attrs.frozen
class Evacuation:
    """An evacuation of one zone.

    Attributes
    ----------
    zone : str
    ordered_at, removed_at : float
        Unix time of the store's answer to the order, and of the begin of its removal.
    """

    zone: str
    ordered_at: float
    removed_at: float


class Evacuator:
    """Evacuates random zones, one after another.

    Parameters
    ----------
    deployment : Deployment
        Its servers are in zones of their own.
    seed : int
    record_fault : callable
        Records a line for the report of a failed run.
    """

    def __init__(
        self, deployment: Deployment, seed: int, record_fault: Callable[[str], None]
    ):
        self.deployment = deployment
        self.rng = random.Random(f"{seed} evacuations")
        self.record_fault = record_fault
        self.evacuations: list[Evacuation] = []
        self.disturbances = Disturbances()

    async def run(self, seconds: float) -> None:
        """Evacuate zones for a time; end all evacuations before returning."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        zones = [f"zone-{number}" for number in range(self.deployment.nodes)]
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            count = 2 if self.rng.random() < TWO_ZONES_SHARE else 1
            chosen = self.rng.sample(zones, min(count, len(zones)))
            span = self.rng.uniform(*EVACUATION_S)
            self.record_fault(f"evacuate {chosen} for {span:.1f} s")
            started = Disturbance("", time.time())
            self.disturbances.periods.append(started)
            await asyncio.gather(*(self.evacuate(zone, span) for zone in chosen))
            if self.rng.random() < AGAIN_SHARE:
                pause = self.rng.uniform(0, 1)
                self.record_fault(f"evacuate {chosen} again after {pause:.1f} s")
                await asyncio.sleep(pause)
                await asyncio.gather(*(self.evacuate(zone, span) for zone in chosen))
            started.ended_at = time.time() + RETURN_S

    async def evacuate(self, zone: str, span: float) -> None:
        """Evacuate a zone for a time."""
        await self.deployment.write("op", f"evacuate/{zone}", {})
        ordered_at = time.time()
        await asyncio.sleep(span)
        self.evacuations.append(Evacuation(zone, ordered_at, time.time()))
        while True:
            if await self.remove_row(f"evacuate/{zone}"):
                return
            await asyncio.sleep(0.1)

    async def remove_row(self, key: str) -> bool:
        """Remove a row of the operator's table; return whether it is removed."""
        removed = [{"table": "op", "key": key}]
        body = json.dumps({"expected": [], "writes": [], "remove": removed}).encode()
        try:
            answer = await self.deployment.fetcher.fetch(
                self.deployment.store_address,
                "POST",
                "/gypsumshift/rows-tx",
                [],
                body,
                2.0,
            )
        except FetchError:
            return False
        return answer.status == 200

    def with_faults(self, disturbances: Disturbances) -> Disturbances:
        """Return the faults together with the times of evacuations."""
        combined = Disturbances()
        combined.periods = disturbances.periods + self.disturbances.periods
        return combined


def check_evacuations(
    folder: pathlib.Path,
    evacuations: list[Evacuation],
    disturbances: Disturbances,
) -> tuple[list[str], float]:
    """Return arrivals in evacuated zones, and the seconds for which none was allowed.

    Only the agent beside an engine sends requests to it here. The sender of a request
    to an application server is not known, so any fault excuses it.

    Parameters
    ----------
    folder : pathlib.Path
        Folder with the run logs.
    evacuations : list of Evacuation
    disturbances : Disturbances
        Faults that excuse a process.
    """
    violations: list[str] = []
    checked = 0.0
    arrivals = [line for kind in ("app", "engine") for line in read_runs(folder, kind)]
    for one in evacuations:
        number = one.zone.removeprefix("zone-")
        files = {f"app-{number}.runs": None, f"engine-{number}.runs": f"agent-{number}"}
        for file, sender in files.items():
            checked += undisturbed_seconds(one, sender, disturbances)
            for line in arrivals:
                at = line["at"] if line["file"] == file and "arrived" in line else 0.0
                if not one.ordered_at + BOUND_S < at < one.removed_at:
                    continue
                if not is_excused(at, sender, disturbances):
                    late = at - one.ordered_at
                    violations.append(
                        f"{file}: {line['arrived']} arrived {late:.2f} s after the "
                        f"evacuation of {one.zone}"
                    )
    return violations, checked


def is_excused(at: float, sender: str | None, disturbances: Disturbances) -> bool:
    """Return whether a fault may have kept a sender from the store before a time."""
    if sender is not None:
        return disturbances.include(sender, at - CONTACT_S, at)
    return any(
        period.started_at <= at and at - CONTACT_S <= period.ended_at
        for period in disturbances.periods
    )


def undisturbed_seconds(
    one: Evacuation, sender: str | None, disturbances: Disturbances
) -> float:
    """Return for how long no arrival would have been excused, in steps of 0.1 s."""
    steps = int((one.removed_at - one.ordered_at - BOUND_S) / 0.1)
    times = (one.ordered_at + BOUND_S + 0.1 * step for step in range(max(0, steps)))
    return 0.1 * sum(not is_excused(at, sender, disturbances) for at in times)

"""Callers of a surge, in a process of their own.

``python -m bench.surgecallers PLAN RECORDS`` reads a `SurgePlan` as JSON and writes a
JSON list of `bench.surge.CallRecord`. It is separate so that the flood does not add to
the times that the other callers measure.
"""

import asyncio
import itertools
import json
import pathlib
import random
import sys
import time
from collections.abc import Mapping

import attrs

from bench.surge import REFUSAL_STATUSES, CallRecord
from gypsumshift.httpclient import Fetcher, FetchError

__all__ = ["Phase", "SurgeCallers", "SurgePlan"]

# Callers wait for a retry at most this part of the time that they have left.
MAX_RETRY_SHARE = 1 / 3


@attrs.frozen
class Phase:
    """A part of the surge.

    Attributes
    ----------
    name : str
    seconds : float
    rates : mapping
        Requests per second by workspace.
    """

    name: str
    seconds: float
    rates: Mapping[str, float]


@attrs.frozen
class SurgePlan:
    """What the callers of one process send.

    Attributes
    ----------
    started_at : float
        Start of the first phase by the monotonic clock, which processes share.
    seed : int
    gateways : list of (str, int)
    target, host : str
    time_limit_s : float
        Time after which a caller gives up.
    keys : dict
        Key by workspace.
    phases : list of Phase
    body_bytes, large_body_bytes : int
        Sizes of the usual and of the large bodies.
    large_share : float
        Share of the requests with a large body.
    """

    started_at: float
    seed: int
    gateways: list[tuple[str, int]]
    target: str
    host: str
    time_limit_s: float
    keys: dict[str, str]
    phases: list[Phase] = attrs.field(
        converter=lambda phases: [
            p if isinstance(p, Phase) else Phase(**p) for p in phases
        ]
    )
    body_bytes: int = 200
    large_body_bytes: int = 0
    large_share: float = 0.0


class SurgeCallers:
    """Sends the requests of a plan at random times, whether or not others are open.

    Parameters
    ----------
    plan : SurgePlan

    Attributes
    ----------
    records : list of CallRecord
    """

    def __init__(self, plan: SurgePlan):
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.fetcher = Fetcher()
        self.request_numbers = itertools.count()
        self.records: list[CallRecord] = []
        self.open_calls: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send the requests of all phases, and wait for the last answers."""
        began = self.plan.started_at
        for phase in self.plan.phases:
            senders = [self.send_phase(phase, name, began) for name in phase.rates]
            await asyncio.gather(*senders)
            began += phase.seconds
            await asyncio.sleep(began - time.monotonic())
        await asyncio.gather(*self.open_calls)
        self.fetcher.close_idle()

    async def send_phase(self, phase: Phase, workspace: str, began: float) -> None:
        """Send the requests of one workspace in a phase."""
        due, rate = began, phase.rates[workspace]
        while (due := due + self.rng.expovariate(rate)) < began + phase.seconds:
            await asyncio.sleep(due - time.monotonic())
            task = asyncio.create_task(self.call(phase.name, workspace, due))
            self.open_calls.add(task)
            task.add_done_callback(self.open_calls.discard)

    async def call(self, phase: str, workspace: str, due: float) -> None:
        """Send one request, with the retries that gateways ask for; record it."""
        deadline = due + self.plan.time_limit_s
        large = self.rng.random() < self.plan.large_share
        body = b"x" * (self.plan.large_body_bytes if large else self.plan.body_bytes)
        gateways = self.rng.sample(self.plan.gateways, len(self.plan.gateways))
        refusals, lag_s = [], time.monotonic() - due
        for gateway in itertools.cycle(gateways):
            began = time.monotonic()
            status, retry_after_s = await self.attempt(
                gateway, workspace, body, deadline - began
            )
            now = time.monotonic()
            if status not in REFUSAL_STATUSES:
                break
            refusals.append(now - began)
            if not 0 <= retry_after_s <= MAX_RETRY_SHARE * (deadline - now):
                break
            await asyncio.sleep(retry_after_s)
        seconds = time.monotonic() - due
        self.records.append(
            CallRecord(workspace, phase, status, seconds, refusals, lag_s)
        )

    async def attempt(self, gateway, workspace, body, left_s) -> tuple[int, float]:
        """Send a request once; return its status and the Retry-After in seconds.

        The status is 0 without a complete answer, and the Retry-After -1 without one.
        """
        fields = [
            ("request-id", f"s-{self.plan.seed}-{next(self.request_numbers)}"),
            ("deadline-ms", str(max(1, int(1000 * left_s)))),
            ("key", self.plan.keys[workspace]),
        ]
        plan = self.plan
        try:
            async with asyncio.timeout(left_s):
                exchange = await self.fetcher.open(
                    tuple(gateway), "POST", plan.target, fields, body, host=plan.host
                )
                await exchange.read()
        except (FetchError, TimeoutError):
            return 0, -1.0
        exchange.close()
        headers = {name.lower(): value for name, value in exchange.headers}
        return exchange.status, float(headers.get("retry-after", -1.0))


def main(plan_path: str, records_path: str) -> None:
    """Run the callers of a plan, and write their records."""
    plan = SurgePlan(**json.loads(pathlib.Path(plan_path).read_text()))
    callers = SurgeCallers(plan)
    asyncio.run(callers.run())
    records = [attrs.asdict(record) for record in callers.records]
    pathlib.Path(records_path).write_text(json.dumps(records))


if __name__ == "__main__":
    main(*sys.argv[1:])

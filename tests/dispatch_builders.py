"""Dispatcher without a network, whose servers answer or crash after a fixed time."""

import asyncio
import itertools
import random
import types

from gypsumshift.attemptresults import CompleteAnswer, LostAttempt
from gypsumshift.dispatch import Dispatcher, PoolRequest
from gypsumshift.generated.messages import Head
from gypsumshift.membership import Peer
from tests.builders import member
from tests.job_builders import METRICS
from tests.virtual_time import LoopClock

# Time from the start of a request to its answer, or to the crash of its server.
RUN_TIME_S = 0.1


class FakeDispatcher(Dispatcher):
    """Dispatcher that sends each attempt to a server that was not used before.

    Attributes
    ----------
    fatal : bool
        Whether requests crash their servers.
    runs : list of float
        Start times of all attempts.
    """

    def __init__(self, fatal=True):
        catalog = types.SimpleNamespace(pools={}, workspaces={})
        super().__init__(
            types.SimpleNamespace(
                clock=LoopClock(),
                random=random.Random(1),
                metrics=METRICS,
                membership=None,
                active_revision=types.SimpleNamespace(catalog=catalog),
            )
        )
        self.fatal = fatal
        self.runs = []
        self.numbers = itertools.count(1)

    def next_sidecar(self, request, router):
        name = f"sidecar-{next(self.numbers)}"
        return Peer(member(name), self.clock.monotonic())

    async def send_attempt(self, request, sidecar, attempt):
        self.runs.append(self.clock.monotonic())
        await asyncio.sleep(RUN_TIME_S)
        if self.fatal:
            return LostAttempt("cut", attempt, server_ended=True)
        return CompleteAnswer(Head(200, []), b"", sidecar.member.backend)

    def request(self, timeout_s=2.0):
        """Return a new repetition of the same request."""
        deadline = self.clock.monotonic() + timeout_s
        return PoolRequest("w", "pool", "POST", "/", deadline)

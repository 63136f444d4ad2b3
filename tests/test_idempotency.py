"""Requests run at most once per key, despite lost messages, restarts and repetitions.

The state machine covers refused, lost and late attempts, sidecar restarts, outages of
the platform and concurrent requests with the same key.
"""

import asyncio
import collections

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.attemptresults import CompleteAnswer, LostAttempt, Refusal
from gypsumshift.attempts import AttemptLog
from gypsumshift.dispatch import Dispatcher, PoolRequest
from gypsumshift.generated.messages import AttemptState, BarReply, Head
from gypsumshift.idempotency import IdempotentRunner, KeyMismatch, ReplayedAnswer
from gypsumshift.membership import Peer
from gypsumshift.outcomes import NotRun, Unknown

from . import builders

FATES = (
    "answered",
    "refused",
    "not delivered",
    "delivered late",
    "answer lost",
    "keeps running",
)


@attrs.define
class FakeSidecar:
    """A sidecar that has only a log of attempts and counts the runs of each key."""

    name: str
    runs: collections.Counter
    incarnation: int = 1
    log: AttemptLog = attrs.field(factory=AttemptLog)

    def start(self, attempt, incarnation, key):
        """Start an attempt if that is allowed; return whether it ran."""
        if incarnation != self.incarnation or not self.log.may_start(attempt):
            return False
        self.log.record_start(attempt)
        self.runs[key] += 1
        return True

    def restart(self):
        self.incarnation += 1
        self.log = AttemptLog()


class FakeDispatcher:
    """Dispatcher that sends attempts to fake sidecars, with a given fate for each."""

    def __init__(self, clock, sidecars):
        self.clock = clock
        self.sidecars = sidecars
        self.fates = collections.deque()
        self.late = []
        self.process = self
        self.cut = False

    def spawn(self, work):
        return asyncio.ensure_future(work)

    def router(self, pool):
        return self

    def choose_sidecar(self, avoid, request_class):
        for sidecar in self.sidecars:
            if sidecar.name not in avoid:
                member = builders.member(
                    sidecar.name, incarnation=sidecar.incarnation, port=1
                )
                member.host = sidecar.name
                load = builders.load(mark=sidecar.log.arrivals)
                return Peer(member, 0.0, load)
        return None

    def find(self, name):
        return next(s for s in self.sidecars if s.name == name)

    async def run_attempt(self, request, peer, attempt):
        await asyncio.sleep(0)
        sidecar = self.find(peer.member.name)
        fate = self.fates.popleft() if self.fates else "answered"
        key = request.target
        if fate == "refused":
            return Refusal("refused by the test", 0.1)
        if fate == "not delivered":
            return LostAttempt("cut", attempt)
        if fate == "delivered late":
            self.late.append((sidecar, attempt, peer.member.incarnation, key))
            return LostAttempt("cut", attempt)
        if not sidecar.start(attempt, peer.member.incarnation, key):
            return Refusal("barred", 0.1)
        if fate == "keeps running":
            return LostAttempt("cut", attempt)
        sidecar.log.record_end(attempt, Head(200, []), key.encode())
        if fate == "answer lost":
            return LostAttempt("cut", attempt)
        return CompleteAnswer(Head(200, []), key.encode(), sidecar.name)

    resolve_lost_attempt = Dispatcher.resolve_lost_attempt
    await_final_state = Dispatcher.await_final_state

    async def request_bar(self, address, incarnation, attempt):
        await asyncio.sleep(0)
        sidecar = self.find(address[0])
        if self.cut or sidecar.incarnation != incarnation:
            return BarReply(AttemptState.UNKNOWN, None, b"")
        record = sidecar.log.bar(attempt)
        return BarReply(record.state, record.head, record.body)


class IdempotencyMachine(RuleBasedStateMachine):
    """Callers send and repeat requests with keys while all components may fail."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = builders.ManualClock()
        self.tables = builders.FaultyTables()
        self.runs = collections.Counter()
        self.sidecars = [FakeSidecar(name, self.runs) for name in ("a", "b")]
        self.dispatcher = FakeDispatcher(self.clock, self.sidecars)
        platform = builders.platform(self.tables)
        self.runners = [
            IdempotentRunner(platform, self.dispatcher, self.clock) for _ in range(2)
        ]

    def teardown(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def make_request(self, key):
        deadline = self.clock.monotonic() + 1
        return PoolRequest("w", "p", "POST", key, deadline, repeatable=False)

    def check_outcome(self, key, result):
        """Check an outcome against the number of runs of the key."""
        if isinstance(result, (CompleteAnswer, ReplayedAnswer)):
            whole = result.whole if isinstance(result, ReplayedAnswer) else result
            assert whole.body == key.encode() and self.runs[key] == 1
        elif isinstance(result, NotRun):
            assert self.runs[key] == 0, "the outcome is not run, but the request ran"
        else:
            assert isinstance(result, Unknown)

    @rule(
        key=st.sampled_from(["k1", "k2"]),
        fates=st.lists(st.sampled_from(FATES), max_size=3),
        entry=st.integers(0, 1),
    )
    def call(self, key, fates, entry):
        self.dispatcher.fates = collections.deque(fates)
        result = self.loop.run_until_complete(
            self.runners[entry].run_once(key, self.make_request(key))
        )
        self.check_outcome(key, result)

    @rule(key=st.sampled_from(["k1", "k2"]), fates=st.lists(st.sampled_from(FATES)))
    def call_at_both_entries(self, key, fates):
        self.dispatcher.fates = collections.deque(fates)

        async def both():
            return await asyncio.gather(
                *(
                    runner.run_once(key, self.make_request(key))
                    for runner in self.runners
                )
            )

        for result in self.loop.run_until_complete(both()):
            if isinstance(result, (CompleteAnswer, ReplayedAnswer)):
                whole = result.whole if isinstance(result, ReplayedAnswer) else result
                assert whole.body == key.encode()

    @rule()
    def deliver_late(self):
        for sidecar, attempt, incarnation, key in self.dispatcher.late:
            sidecar.start(attempt, incarnation, key)
        self.dispatcher.late.clear()

    @rule()
    def finish_running_attempts(self):
        for sidecar in self.sidecars:
            for attempt, record in sidecar.log.records.items():
                if record.state == AttemptState.RUNNING:
                    sidecar.log.record_end(attempt, None, b"")

    @rule(number=st.integers(0, 1))
    def restart_sidecar(self, number):
        self.sidecars[number].restart()

    @rule(down=st.booleans())
    def set_platform_down(self, down):
        self.tables.down = down

    @rule(lose=st.integers(0, 2), drop=st.integers(0, 2))
    def lose_or_drop_commits(self, lose, drop):
        self.tables.lost_answers, self.tables.lost_requests = lose, drop

    @rule(cut=st.booleans())
    def cut_off_sidecars(self, cut):
        self.dispatcher.cut = cut

    @invariant()
    def at_most_once(self):
        assert all(count <= 1 for count in self.runs.values()), self.runs


TestIdempotency = IdempotencyMachine.TestCase


def run_with_machine(work):
    machine = IdempotencyMachine()
    try:
        machine.loop.run_until_complete(work(machine))
    finally:
        machine.teardown()


def test_reusing_a_key_for_another_request_is_a_mismatch():
    async def work(machine):
        runner = machine.runners[0]
        assert isinstance(
            await runner.run_once("k", machine.make_request("k1")), CompleteAnswer
        )
        assert isinstance(
            await runner.run_once("k", machine.make_request("k2")), KeyMismatch
        )
        assert machine.runs == {"k1": 1}

    run_with_machine(work)


def test_stored_answer_is_replayed_after_its_sidecar_has_restarted():
    async def work(machine):
        await machine.runners[0].run_once("k1", machine.make_request("k1"))
        await asyncio.sleep(0)
        for sidecar in machine.sidecars:
            sidecar.restart()
        result = await machine.runners[1].run_once("k1", machine.make_request("k1"))
        assert isinstance(result, ReplayedAnswer) and result.whole.body == b"k1"

    run_with_machine(work)


def test_during_a_platform_outage_only_a_fresh_key_is_not_run():
    async def work(machine):
        machine.tables.down = True
        result = await machine.runners[0].run_once("k1", machine.make_request("k1"))
        assert isinstance(result, Unknown)
        request = machine.make_request("k1")
        request.fresh_key = True
        assert isinstance(await machine.runners[0].run_once("k1", request), NotRun)
        assert not machine.runs

    run_with_machine(work)


def test_evicted_attempt_is_unknown_and_late_attempt_is_refused(monkeypatch):
    monkeypatch.setattr("gypsumshift.attempts.MAX_RECORDS", 2)
    log = AttemptLog()
    for name in ("0-a", "0-b", "0-c"):
        log.record_start(name)
    assert log.bar("0-a").state == AttemptState.UNKNOWN
    assert not log.may_start("0-late")
    assert log.may_start("1-fresh")
    assert log.bar("1-fresh").state == AttemptState.NEVER
    assert not log.may_start("1-fresh")

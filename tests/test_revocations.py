"""No key runs anything once it was taken away for longer than the bound."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.serving.authorization import Grant
from tests.authorization_world import AuthorizationWorld


class Revocations(RuleBasedStateMachine):
    """No key runs anything later than the bound after it was taken away."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = AuthorizationWorld()
        self.held = []
        self.gone_at = None
        self.do(self.world.write(one=["k"]))

    def do(self, work):
        return self.runner.run(work)

    def teardown(self):
        self.runner.close()

    def now(self):
        return self.world.clock.monotonic_with_suspend()

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.world.clock.advance(seconds)

    @rule(seconds=st.floats(0, 8))
    def suspend(self, seconds):
        self.world.clock.suspended += seconds

    @rule(away=st.booleans(), takes=st.floats(0, 4))
    def trouble_store(self, away, takes):
        self.world.store.away = away
        self.world.store.takes = takes

    @rule()
    def hear(self):
        self.do(self.world.watch.poll_once())

    @rule()
    def take_away(self):
        if self.gone_at is None:
            self.do(self.world.write(one=[]))
            self.gone_at = self.now()

    @rule()
    def ask(self):
        sent = self.now()
        verdict = self.do(self.world.authorize())
        if isinstance(verdict, Grant):
            self.held.append(verdict)
            late = self.gone_at is not None and sent > self.gone_at + 5
            assert not late

    @invariant()
    def nothing_held_is_sent_later(self):
        if self.gone_at is not None and self.now() > self.gone_at + 5:
            assert not any(grant.is_valid for grant in self.held)


Revocations.TestCase.settings = settings(max_examples=300, stateful_step_count=30)
TestRevocations = Revocations.TestCase

"""State machine test: a revoked key stops working within the bound."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.serving.authorization import Grant
from tests.authorization_builders import AuthorizationHost


class Revocations(RuleBasedStateMachine):
    """No request runs by a key that was revoked longer ago than the bound."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.host = AuthorizationHost()
        self.grants = []
        self.revoked_at = None
        self.do(self.host.write(one=["k"]))

    def do(self, work):
        return self.runner.run(work)

    def teardown(self):
        self.runner.close()

    def now(self):
        return self.host.clock.monotonic_with_suspend()

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.host.clock.advance(seconds)

    @rule(seconds=st.floats(0, 8))
    def suspend(self, seconds):
        self.host.clock.suspended += seconds

    @rule(unavailable=st.booleans(), delay=st.floats(0, 4))
    def disturb_store(self, unavailable, delay):
        self.host.store.unavailable = unavailable
        self.host.store.delay = delay

    @rule()
    def poll_store(self):
        self.do(self.host.watch.poll_once())

    @rule()
    def revoke(self):
        if self.revoked_at is None:
            self.do(self.host.write(one=[]))
            self.revoked_at = self.now()

    @rule()
    def authorize(self):
        sent = self.now()
        verdict = self.do(self.host.authorize())
        if isinstance(verdict, Grant):
            self.grants.append(verdict)
            late = self.revoked_at is not None and sent > self.revoked_at + 5
            assert not late

    @invariant()
    def no_earlier_grant_is_valid_after_the_bound(self):
        if self.revoked_at is not None and self.now() > self.revoked_at + 5:
            assert not any(grant.is_valid for grant in self.grants)


Revocations.TestCase.settings = settings(max_examples=300, stateful_step_count=30)
TestRevocations = Revocations.TestCase

"""Questions of processes about requests for which they have no proof and no part.

Guards against permits that are used too late or counted too short, and against messages
that are invalid.
"""

import asyncio
import json
import random

import pytest

from gypsumshift.httpclient import FetchedResponse, FetchError
from gypsumshift.httpserver import Request
from gypsumshift.neighbours import Neighbour
from gypsumshift.serving.cold import Grant, Permit, PermitClient, PermitService
from gypsumshift.serving.cold.limiter import WINDOW_SECONDS
from gypsumshift.serving.cold.permits import PERMIT_SECONDS, decode_grant
from gypsumshift.serving.cold.shares import target_share
from gypsumshift.serving.directory import ServerStart
from tests.builders import ManualClock
from tests.cold_world import BOUND, LIMIT
from tests.linked_world import ModelLink
from tests.test_coldrates import OTHER, entry, make_rates


class Senders:
    """Division whose senders are given."""

    def senders(self, server_id, capacity):
        return ["a", "b", "c"]

    def keepers(self, server_id, capacity):
        return ["b", "c"]


class Path:
    """Neighbours that answer questions with given grants, or not at all."""

    def __init__(self, **grants):
        self.grants = grants
        self.asked = []
        self.fetcher = self
        self.neighbours = {
            name: Neighbour(name, (f"10.0.0.{number}", 1))
            for number, name in enumerate(["a", "b", "c", "d"])
        }

    def extra_s(self, neighbour):
        return 0.0

    async def fetch(self, address, method, target, body, timeout):
        name = next(n.name for n in self.neighbours.values() if n.address == address)
        self.asked.append(name)
        if name not in self.grants:
            raise FetchError("no answer", True)
        body = json.dumps({"grant": self.grants[name]}).encode()
        return FetchedResponse(200, [], body)


def application():
    """Return the entry of a warm server that is no engine."""
    return entry(address=OTHER, service="app")


def ask(path, server=None, cold=True):
    client = PermitClient(path, Senders(), ManualClock(), random.Random(1))
    return asyncio.run(client.ask(server or application(), 13, cold))


def test_two_senders_are_asked_until_one_does_not_refuse():
    path = Path(a="refused", b="refused", c="refused", d="running")
    assert ask(path).grant is Grant.REFUSED
    assert len(set(path.asked)) == 2 and "d" not in path.asked
    assert ask(Path(a="permit", b="permit", c="permit")).grant is Grant.PERMIT
    assert ask(Path()).grant is Grant.REFUSED


def test_a_process_that_keeps_a_connection_is_asked_first():
    for _ in range(10):
        path = Path(a="permit", b="running", c="running")
        assert ask(path, cold=False).grant is Grant.RUNNING
        assert len(path.asked) == 1


def test_the_process_beside_an_engine_is_asked_first():
    path = Path(d="running")
    found = entry(address=("10.0.0.3", 9))
    assert ask(path, found).grant is Grant.RUNNING
    assert path.asked == ["d"]


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"server": 1, "born": 1}', b'{"server": "e", "born": "1"}']
)
def test_an_invalid_question_is_answered_with_one_error(body):
    service = PermitService(lambda start: Grant.RUNNING)
    request = Request("POST", "/", "", [], body)
    answer = asyncio.run(service.serve(request))
    assert answer.status == 400 and "question" in json.loads(answer.body)["error"]


def test_a_question_is_answered_for_its_start():
    asked = []
    service = PermitService(lambda start: asked.append(start) or Grant.PERMIT)
    body = b'{"server": "e", "born": 5}'
    request = Request("POST", "/", "", [], body)
    answer = asyncio.run(service.serve(request))
    assert asked == [ServerStart("e", 5)]
    assert decode_grant(answer.body) is Grant.PERMIT
    for wrong in (b"[]", b'{"grant": "maybe"}', b"{}"):
        with pytest.raises(ValueError):
            decode_grant(wrong)


def lender():
    """Return the limiter of a process that knows a warm server, and its clock."""
    rates, clock = make_rates(own_engine=None)
    rates.directory.set_server(application())
    return rates, clock


def test_a_permit_counts_until_it_cannot_arrive_in_the_same_second():
    rates, clock = lender()
    start = application().start
    capacity = target_share(BOUND, LIMIT).capacity
    granted = []
    for _ in range(600):
        if rates.lending.lend(start) is Grant.PERMIT:
            granted.append(clock.monotonic())
        clock.advance(0.01)
    # A permit may be used up to its end, so a second may hold those of a longer time.
    span = 1 + PERMIT_SECONDS
    most = max(sum(at <= other <= at + span for other in granted) for at in granted)
    assert most <= capacity
    assert WINDOW_SECONDS > 1


def test_nothing_is_lent_for_a_start_that_is_not_known():
    rates, clock = lender()
    for start in (ServerStart("e1", 9), ServerStart("gone", 1)):
        assert rates.lending.lend(start) is Grant.REFUSED


def test_a_permit_is_not_used_after_its_end():
    """Guards against a process that is suspended between the permit and the send."""
    rates, clock = lender()
    now = clock.monotonic()
    permit = Permit(Grant.PERMIT, now, now + PERMIT_SECONDS)
    assert rates.lending.use(permit) is not None
    clock.advance(PERMIT_SECONDS)
    assert rates.lending.use(permit) is None
    assert rates.lending.use(None) is None


def test_refusals_are_not_followed_by_questions_at_once():
    rates, clock = lender()
    rates.own_part = lambda server, share: share.__class__(0, 0.0)
    path = Path(a="refused", b="refused", c="refused")
    rates.lending.client = PermitClient(path, Senders(), clock, random.Random(1))
    found = application()
    for _ in range(100):
        check = rates.check(found, "r")
        asyncio.run(check.prepare(ModelLink(clock.seconds, clock.seconds, 1)))
        assert not check()
        clock.advance(0.01)
    assert len(path.asked) <= 2 * 6

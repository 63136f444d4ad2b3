"""Short runs of the fault soak; `make soak` runs longer ones."""

import asyncio

import pytest

from gypsumshift.httpserver import Request
from soak.__main__ import soak
from soak.conditions import PLAIN, choose_conditions
from soak.deployment import Deployment
from soak.regression import SEEDS
from standins.users_worker import FakeWorker

IN_TESTS = [known for known in SEEDS if known.in_tests]


@pytest.mark.parametrize("known", IN_TESTS, ids=lambda known: f"seed-{known.seed}")
def test_run_that_once_violated_a_guarantee_has_no_violations(tmp_path, known):
    run = soak(tmp_path, known.seed, known.seconds, known.nodes, known.conditions)
    violations, summary, faults = asyncio.run(run)
    assert not violations, (known.cause, violations, summary, faults)


def test_seeds_marked_for_the_tests_are_unchanged():
    seeds = [(known.seed, known.seconds, known.nodes) for known in IN_TESTS]
    assert seeds == [(11, 6, 2), (106, 6, 2)]


def test_concurrent_runs_use_different_addresses(tmp_path):
    """Seeds 11 and 211 map to the same address block: concurrent runs failed."""
    first, second = (Deployment(tmp_path, seed, nodes=1) for seed in (11, 211))
    try:
        assert first.next_ip() != second.next_ip()
    finally:
        for deployment in (first, second):
            deployment.claim.close()


def test_conditions_of_seeds_include_each_kind_of_server():
    """Servers with three figures and alike engines were not run any more."""
    chosen = {str(choose_conditions(seed)) for seed in range(200)}
    assert len(chosen) == 8
    assert {known.conditions for known in IN_TESTS} == {PLAIN}


def test_server_queues_requests_and_refuses_further_ones():
    """More requests than slots ran at once, or a refused request ran."""

    async def scenario():
        worker = FakeWorker("app", slots=1, pause=0.05)
        worker.queue_length = 1
        worker.reports_pace = True
        ids = [("request-id", f"q-{number}") for number in range(3)]
        requests = [Request("POST", "/app/1", headers=[one]) for one in ids]
        answers = await asyncio.gather(*map(worker.serve, requests))
        assert [answer.status for answer in answers] == [200, 200, 503]
        assert [run["request"] for run in worker.runs] == ["q-0", "q-1"]
        assert dict(answers[2].headers)["server-load"] == "1,1,1,100"

    asyncio.run(scenario())

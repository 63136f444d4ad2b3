"""A short run of the fault soak; `make soak` runs longer ones."""

import asyncio

import pytest

from soak.__main__ import soak
from soak.deployment import Deployment
from soak.regression import SEEDS

IN_TESTS = [known for known in SEEDS if known.in_tests]


@pytest.mark.parametrize("known", IN_TESTS, ids=lambda known: f"seed-{known.seed}")
def test_a_run_that_broke_a_promise_breaks_none(tmp_path, known):
    run = soak(tmp_path, known.seed, known.seconds, known.nodes)
    wrong, played, faults = asyncio.run(run)
    assert not wrong, (known.cause, wrong, played, faults)


def test_the_seeds_that_the_tests_play_are_these():
    played = [(known.seed, known.seconds, known.nodes) for known in IN_TESTS]
    assert played == [(11, 6, 2), (106, 6, 2)]


def test_two_runs_at_a_time_have_addresses_of_their_own(tmp_path):
    """A run of seed 211 beside one of seed 11 failed: one block served both."""
    first, second = (Deployment(tmp_path, seed, nodes=1) for seed in (11, 211))
    try:
        assert first.next_ip() != second.next_ip()
    finally:
        for deployment in (first, second):
            deployment.claim.close()

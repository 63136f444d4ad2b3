"""Short runs of the fault soak; `make soak` runs longer ones."""

import asyncio

import pytest

from soak.__main__ import soak
from soak.deployment import Deployment
from soak.regression import SEEDS

IN_TESTS = [known for known in SEEDS if known.in_tests]


@pytest.mark.parametrize("known", IN_TESTS, ids=lambda known: f"seed-{known.seed}")
def test_run_that_once_violated_a_guarantee_has_no_violations(tmp_path, known):
    run = soak(tmp_path, known.seed, known.seconds, known.nodes)
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

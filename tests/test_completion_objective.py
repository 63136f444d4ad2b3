"""Objective for the completion of batch jobs in the configuration document.

Guards against steps that are all taken to be late: the objective of the submission,
half a second, was used as the time for a whole step, so the engines of a deployment
with room for all were divided between workspaces.
"""

import datetime

from standins.users_documents import HOST, config, route
from tests.test_priorities import load


def test_a_batch_route_has_an_objective_for_completion_and_one_for_submission():
    jobs = route("jobs", service="app", kind="rollout", slo_ms=500, run_slo_ms=7500)
    found = load(config(2, [jobs], 4, {})).routes.find(HOST, "/jobs/1")
    assert found.completion_objective == datetime.timedelta(seconds=7.5)
    assert found.objective == datetime.timedelta(seconds=0.5)


def test_a_route_without_it_has_no_objective_for_completion():
    jobs = route("jobs", service="app", kind="rollout", slo_ms=500)
    found = load(config(2, [jobs], 4, {})).routes.find(HOST, "/jobs/1")
    assert found.completion_objective is None

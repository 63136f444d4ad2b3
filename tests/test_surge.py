"""Arithmetic of the contention experiment: outcomes, percentiles and the table."""

import pytest

from bench.surge import CallRecord, format_summaries, percentile_ms, summarize

OBJECTIVE_S = 0.4


def record(status, seconds, refusals=(), workspace="north"):
    return CallRecord(workspace, "surge", status, seconds, refusals)


@pytest.mark.parametrize(
    ("status", "seconds", "outcome"),
    [
        (200, 0.4, "in time"),
        (200, 0.401, "late"),
        (503, 0.01, "refused"),
        (429, 0.01, "refused"),
        (502, 0.01, "failed"),
        (0, 3.0, "failed"),
    ],
)
def test_each_request_has_one_outcome(status, seconds, outcome):
    """Guards against a fast refusal or error that counts as in time."""
    assert record(status, seconds).outcome(OBJECTIVE_S) == outcome


def test_outcomes_add_up_to_the_requests():
    """Guards against requests that are missing from the summary."""
    statuses = [200, 200, 503, 502, 0]
    summary = summarize([record(status, 0.1) for status in statuses], OBJECTIVE_S)
    counts = (summary.in_time, summary.late, summary.refused, summary.failed)
    assert counts == (2, 0, 1, 2)
    assert summary.requests == sum(counts)
    assert summary.in_time_share == summary.served_share == 0.4


def test_answer_times_are_those_of_served_requests_only():
    """Guards against quick refusals that improve the percentiles of the answer time."""
    records = [record(200, 0.3), record(503, 0.001, [0.001])]
    summary = summarize(records, OBJECTIVE_S)
    assert summary.answer_p50_ms == summary.answer_p99_ms == pytest.approx(300)


def test_refusals_before_a_served_retry_count():
    """Guards against refusals that are lost since the retry was served."""
    records = [record(200, 0.9, [0.1, 0.3]), record(503, 0.2, [0.2])]
    summary = summarize(records, OBJECTIVE_S)
    assert (summary.refused, summary.late) == (1, 1)
    assert summary.refusal_p50_ms == pytest.approx(200)


def test_percentiles_are_interpolated_between_values():
    seconds = [number / 1000 for number in range(101)]
    assert percentile_ms(seconds, 50) == pytest.approx(50)
    assert percentile_ms(seconds, 99) == pytest.approx(99)
    assert percentile_ms([], 99) is None


def test_workspace_without_requests_has_no_times_and_no_shares():
    """Guards against a division by zero for a workspace that sent nothing."""
    summary = summarize([], OBJECTIVE_S)
    assert summary.in_time_share == summary.served_share == 0
    assert summary.answer_p50_ms is None


def test_table_has_the_arms_of_a_workspace_side_by_side():
    north = summarize([record(200, 0.1)], OBJECTIVE_S)
    south = summarize([record(503, 0.2, [0.05])], OBJECTIVE_S)
    arms = {
        "all": {"north": north, "south": south},
        "without": {"north": south, "south": north},
    }
    lines = format_summaries(arms)[2:]
    assert [line.split(" | ")[:2] for line in lines] == [
        ["| north", "all"],
        ["| north", "without"],
        ["| south", "all"],
        ["| south", "without"],
    ]
    assert lines[0] == "| north | all | 1 | 1 | 0 | 0 | 0 | 100 | 100 | - | - | 0 |"
    assert lines[1] == "| north | without | 1 | 0 | 0 | 1 | 0 | - | - | 50 | 50 | 0 |"

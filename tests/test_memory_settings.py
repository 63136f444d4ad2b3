"""The memory limit of the platform's settings, and the budget made from it."""

import pytest

from tests.platform_cluster import ADAPTER_FOLDER, run_scenario  # noqa: F401

import main  # isort: skip
import node_settings  # isort: skip
from http_frontend import hold_answer  # isort: skip

from gypsumshift.bytebudget import MIB, ByteKind
from gypsumshift.httpserver import Request, Response
from gypsumshift.metrics import scrape
from gypsumshift.serving.evacuations import Evacuations
from standins.users_documents import HOST, settings_text
from tests.budget_builders import new_budget


def load(tmp_path, **extra):
    file = tmp_path / "front.conf"
    fields = {"listen.front": "127.0.0.1:0"} | extra
    file.write_text(settings_text("front", "127.0.0.1", ("127.0.0.1", 1), **fields))
    return node_settings.load(file)


def test_without_a_memory_limit_there_is_no_budget(tmp_path):
    settings = load(tmp_path)
    assert settings.memory == 0
    assert not main.new_components(settings).budget.is_limited


def test_the_budget_leaves_the_memory_of_an_idle_process(tmp_path):
    settings = load(tmp_path, **{"limits.memory_mb": "200"})
    assert main.new_components(settings).budget.limit == pytest.approx(72 * MIB)


def test_the_budget_can_be_switched_off(tmp_path, monkeypatch):
    monkeypatch.setenv("GYPSUMSHIFT_WITHOUT", "byte_budget")
    settings = load(tmp_path, **{"limits.memory_mb": "200"})
    assert not main.new_components(settings).budget.is_limited


def test_batch_jobs_are_told_from_callers_requests_by_their_route(tmp_path):
    async def scenario(cluster):
        port = cluster.gateway.ports[0].server
        headers = [("host", HOST)]
        job = Request("POST", "/batch/run", "", headers)
        assert port.classify_body(job) is ByteKind.JOB
        call = Request("POST", "/score/", "", headers)
        assert port.classify_body(call) is ByteKind.REQUEST

    run_scenario(scenario, tmp_path)


def test_bytes_held_and_refusals_are_metrics_by_kind(tmp_path):
    components = main.new_components(load(tmp_path, **{"limits.memory_mb": "200"}))
    components.budget.hold().add(ByteKind.JOB, 10)
    components.budget.record_refusal(ByteKind.STREAM, MIB, request="r1")
    page = scrape().decode()
    assert 'gypsumshift_figure{figure="bytes_held.job",' in page
    assert 'gypsumshift_byte_refusals_total{kind="stream",' in page
    components.metrics.close()


def test_all_parts_of_a_process_have_their_gauges(tmp_path, monkeypatch):
    """A part that replaces the gauges hides those of the parts before it."""
    evacuated = {"evacuated_running_items": 1.0}
    monkeypatch.setattr(Evacuations, "gauges", lambda self: evacuated)
    gateway = main.new_gateway(load(tmp_path, **{"limits.memory_mb": "200"}))
    gauges = gateway.sender.metrics.read_gauges()
    expected = {"bytes_held.request", "evacuated_running_items"}
    assert expected <= set(gauges)
    gateway.sender.metrics.close()


def test_a_page_of_results_is_counted_until_it_was_read():
    budget = new_budget(12 * MIB)
    request = Request("GET", "/gypsumshift/lots/j", holding=budget.hold())
    page = Response(200, [], b"x" * MIB)
    assert hold_answer(request, page) is page
    assert budget.held[ByteKind.ANSWER] == MIB
    budget.add(ByteKind.ANSWER, 12 * MIB)
    refused = hold_answer(request, page)
    assert refused.status == 503 and dict(refused.headers)["retry-after"]

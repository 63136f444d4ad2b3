"""The soak's check of result positions, and late responses of its metadata store."""

import asyncio
import json

from soak.positions import PositionChecker
from standins.users_store import FakeMetadataStore, Faults
from tests.system import wait_until


def page(*items):
    return [{"id": item, "text": f"text of {item}"} for item in items]


def test_equal_results_at_all_gateways_are_no_violation():
    checker = PositionChecker("job")
    assert checker.check_page(0, page("a", "b"), "gateway-0") == []
    assert checker.check_page(1, page("b", "c"), "gateway-1") == []
    assert checker.check_page(0, page("a", "b", "c"), "gateway-2") == []
    assert checker.check_page(3, [], "gateway-0") == []


def test_an_item_at_two_positions_is_reported_once():
    checker = PositionChecker("job")
    violations = checker.check_page(0, page("a", "b", "b"), "gateway-0")
    assert violations == ["job: b is at position 2 and at 1, read at gateway-0"]
    assert checker.check_page(0, page("a", "b", "b"), "gateway-0") == []


def test_an_item_that_moves_between_two_reads_is_reported():
    checker = PositionChecker("job")
    assert checker.check_page(0, page("a"), "gateway-0") == []
    violations = checker.check_page(1, page("a"), "gateway-1")
    assert violations == ["job: a is at position 1 and at 0, read at gateway-1"]


def test_a_position_with_another_item_than_before_is_reported():
    checker = PositionChecker("job")
    assert checker.check_page(4, page("a"), "gateway-0") == []
    violations = checker.check_page(4, page("b"), "gateway-1")
    assert violations == ["job: position 4 held a and then b, read at gateway-1"]


def test_a_second_result_of_an_item_at_its_position_is_reported():
    checker = PositionChecker("job")
    assert checker.check_page(0, page("a"), "gateway-0") == []
    violations = checker.check_page(0, [{"id": "a", "text": "another"}], "gateway-1")
    assert violations == ["job: a has two results at position 0, read at gateway-1"]


class TransactionRequest:
    """A request that creates one row of table ``t``."""

    def __init__(self, key: str):
        row_id = {"table": "t", "key": key}
        writes = [row_id | {"value": "e30="}]
        expected = [row_id | {"ver": 0}]
        value = {"expected": expected, "writes": writes, "remove": []}
        self.body = json.dumps(value).encode()


def test_a_late_response_has_the_version_of_its_own_transaction():
    async def scenario():
        store = FakeMetadataStore()
        store.faults = Faults(answer_late=0.2)
        pending = asyncio.create_task(store.serve_rows_tx(TransactionRequest("first")))
        await wait_until(lambda: store.tables.version)
        assert not pending.done(), "the write must take effect before its response"
        await store.write_row("t", "other", {})
        response = await pending
        assert json.loads(response.body)["ver"] == 1
        refused = await store.serve_rows_tx(TransactionRequest("first"))
        assert refused.status == 412

    asyncio.run(scenario())


def test_lost_writes_take_effect_after_the_delay_for_lost_writes_only():
    async def scenario():
        store = FakeMetadataStore()
        store.faults = Faults(lose=1.0, late=0.1, answer_late=60.0)
        await store.serve_rows_tx(TransactionRequest("lost"))
        assert store.tables.version == 0
        await wait_until(lambda: store.tables.version)

    asyncio.run(scenario())

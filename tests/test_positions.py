"""What the soak says of positions that change, and how its store answers late."""

import asyncio
import json

from soak.positions import PositionChecker
from standins.users_store import FakeMetadataStore, Faults
from tests.system import until


def page(*items):
    return [{"id": item, "text": f"text of {item}"} for item in items]


def test_the_same_results_at_all_gateways_are_right():
    positions = PositionChecker("job")
    assert positions.check_page(0, page("a", "b"), "gateway-0") == []
    assert positions.check_page(1, page("b", "c"), "gateway-1") == []
    assert positions.check_page(0, page("a", "b", "c"), "gateway-2") == []
    assert positions.check_page(3, [], "gateway-0") == []


def test_an_item_at_two_positions_is_told_once():
    positions = PositionChecker("job")
    told = positions.check_page(0, page("a", "b", "b"), "gateway-0")
    assert told == ["job: b stands at position 2 and at 1, by gateway-0"]
    assert positions.check_page(0, page("a", "b", "b"), "gateway-0") == []


def test_an_item_that_moves_between_two_reads_is_told():
    positions = PositionChecker("job")
    assert positions.check_page(0, page("a"), "gateway-0") == []
    told = positions.check_page(1, page("a"), "gateway-1")
    assert told == ["job: a stands at position 1 and at 0, by gateway-1"]


def test_a_position_that_holds_another_item_is_told():
    positions = PositionChecker("job")
    assert positions.check_page(4, page("a"), "gateway-0") == []
    told = positions.check_page(4, page("b"), "gateway-1")
    assert told == ["job: position 4 held a and then b, by gateway-1"]


def test_another_result_of_the_same_item_is_told():
    positions = PositionChecker("job")
    assert positions.check_page(0, page("a"), "gateway-0") == []
    told = positions.check_page(0, [{"id": "a", "text": "another"}], "gateway-1")
    assert told == ["job: a has two results at position 0, by gateway-1"]


class TransactionRequest:
    """A request to the store."""

    def __init__(self, row: str):
        place = {"table": "t", "key": row}
        writes = [place | {"value": "e30="}]
        expected = [place | {"ver": 0}]
        value = {"expected": expected, "writes": writes, "remove": []}
        self.body = json.dumps(value).encode()


def test_a_late_answer_tells_the_version_of_its_own_write():
    async def scenario():
        store = FakeMetadataStore()
        store.faults = Faults(answer_late=0.2)
        asked = asyncio.create_task(store.serve_rows_tx(TransactionRequest("first")))
        await until(lambda: store.tables.version)
        assert not asked.done(), "the write took effect before its answer"
        await store.write_row("t", "other", {})
        answer = await asked
        assert json.loads(answer.body)["ver"] == 1
        refused = await store.serve_rows_tx(TransactionRequest("first"))
        assert refused.status == 412

    asyncio.run(scenario())


def test_lost_writes_are_as_late_as_they_were():
    async def scenario():
        store = FakeMetadataStore()
        store.faults = Faults(lose=1.0, late=0.1, answer_late=60.0)
        await store.serve_rows_tx(TransactionRequest("lost"))
        assert store.tables.version == 0
        await until(lambda: store.tables.version)

    asyncio.run(scenario())

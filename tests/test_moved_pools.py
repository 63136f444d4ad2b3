"""A retry of an entry goes to the pool to which the revision in force leads.

Guards against requests at a pool from which their service has moved meanwhile.
"""

import asyncio
import copy
import json

import pytest

from gypsumshift.httpclient import Fetcher
from standins.service import FakeService
from tests import system
from tests.system import wait_until

WORK_S = 0.5


def declarations(pool):
    """Return declarations in which the service ``shop`` leads to a pool."""
    value = copy.deepcopy(system.DECLARATIONS)
    value["pools"].append({"name": "moved", "kind": "service", "concurrency": 4})
    services = {"shop": pool} if pool else {}
    value["templates"][0]["parameters"]["services"] = services
    return value


@pytest.mark.parametrize(("pool", "status"), [("moved", 200), ("", 504)])
def test_a_retry_goes_to_the_pool_of_the_revision_in_force(pool, status):
    async def work(sys):
        moved = FakeService("moved", duration=0.001, spread=0)
        sys.services.append(moved)
        port = await moved.server.listen(system.HOST, 0)
        await sys.add_sidecar("moved-0", "moved", port)
        await wait_until(sys.has_converged)
        for service in sys.services[:2]:
            service.duration, service.faults.cut = WORK_S, 1
        address = sys.entries[0].caller_address
        request = Fetcher().fetch(address, "GET", "/w/services/shop/1")
        running = asyncio.create_task(request)
        await wait_until(lambda: sum(sys.run_counts().values()))
        sys.entries[0].adopt_revision(2, json.dumps(declarations(pool)))
        answer = await running
        assert answer.status == status
        assert sum(moved.runs.values()) == (pool == "moved")
        assert sum(sum(s.runs.values()) for s in sys.services[:2]) == 1

    system.run(work, source=declarations("shop"), engines=0, services=2)

"""The soak's checks of refusals and of crowding."""

import json
import math
import types

import pytest

from soak.admission import check_crowding, check_needless_refusals
from soak.checks import check_refused
from soak.crowding import CrowdingPeriod, CrowdRequest
from soak.disturbances import Disturbance, Disturbances
from soak.keys import Key, SentRequest
from soak.places import PlaceHistory
from soak.workload import Observations, Refusal

REFUSAL = Refusal("/app/1", "gateway-0", 100.0, 100.1, b"")
KEY = Key("key", "red", added_at=1.0)
KEYS = types.SimpleNamespace(
    removed_keys=[], sent_requests={"q-1": SentRequest(KEY, 100.0)}
)


def write_runs(folder, held=0, restarted_at=0.0) -> PlaceHistory:
    """Write the logs of two servers with two slots each, of which some are held."""
    lines = [{"started": "a", "at": 10.0, "slots": 2}]
    lines += [{"request": f"q-{n}", "at": 50.0 + n} for n in range(held)]
    if restarted_at:
        lines.append({"started": "a", "at": restarted_at, "slots": 2})
    (folder / "app-0.runs").write_text("\n".join(map(json.dumps, lines)))
    (folder / "app-1.runs").write_text(json.dumps(lines[0]))
    return PlaceHistory(folder)


def find_needless(places, disturbances=None, periods=()) -> list[str]:
    """Check one refusal."""
    seen = Observations(refused={"q-1": REFUSAL})
    disturbances = disturbances or Disturbances()
    return check_needless_refusals(seen, KEYS, places, disturbances, periods)


@pytest.mark.parametrize("held", [0, 2])
def test_refusal_while_half_of_the_places_are_free_is_found(tmp_path, held):
    """A gateway refused although its servers could run the request."""
    assert find_needless(write_runs(tmp_path, held))


def test_refusal_while_more_than_half_of_the_places_are_used_is_accepted(tmp_path):
    """Held places, and those of a server that is not known yet, counted as free."""
    (tmp_path / "app-2.runs").write_text(
        json.dumps({"started": "c", "at": 99.0, "slots": 2})
    )
    assert not find_needless(write_runs(tmp_path, held=2))


def test_restarted_server_has_no_places_until_gateways_know_it(tmp_path):
    """A refusal counted as needless while a gateway could not know the server."""
    places = write_runs(tmp_path, held=1, restarted_at=99.0)
    assert not places.servers[0].least_free(100.0, 100.1)
    assert places.servers[0].least_free(103.0, 104.0) == 2


def test_requests_of_a_killed_server_do_not_hold_places_after_its_restart(tmp_path):
    """Requests without an end held places for ever, so the check found nothing."""
    assert find_needless(write_runs(tmp_path, held=2, restarted_at=90.0))


def test_refusal_during_a_flood_or_a_fault_of_its_gateway_is_accepted(tmp_path):
    """Refusals with a known reason were reported."""
    places = write_runs(tmp_path)
    assert not find_needless(places, periods=[CrowdingPeriod(95.0, 98.0)])
    assert find_needless(places, periods=[CrowdingPeriod(90.0, 96.0)])
    disturbances = Disturbances()
    disturbances.periods.append(Disturbance("gateway-0", 90.0, 98.0))
    assert not find_needless(places, disturbances)
    disturbances.periods[:] = [Disturbance("gateway-1", 90.0, math.inf)]
    assert find_needless(places, disturbances)


def make_period(served: dict[str, int], after=(100.5, 100.5)) -> CrowdingPeriod:
    """Return a flood with 40 requests of each workspace, and some served after it."""
    period = CrowdingPeriod(90.0, 100.0)
    for name, count in served.items():
        statuses = [200] * count + [503] * (40 - count)
        period.requests += [CrowdRequest("q", name, 95.0, 95.1, s) for s in statuses]
    for name, at in zip(served, after, strict=True):
        period.requests.append(CrowdRequest("q", name, at, at + 0.1, 200))
    return period


def test_workspace_that_is_served_less_than_a_quarter_as_often_as_all_is_found():
    """A flood took the places of a workspace that did not flood."""
    gateways = ["gateway-0"]
    starved = make_period({"flood": 40, "last": 4})
    fair = make_period({"flood": 40, "last": 6})
    assert len(check_crowding(starved, gateways, Disturbances())) == 1
    assert not check_crowding(fair, gateways, Disturbances())


def test_workspace_that_is_not_served_soon_after_a_flood_is_found():
    """Refusals went on after the flood, for the flooder as well."""
    period = make_period({"flood": 40, "last": 40}, after=(104.0, 100.5))
    assert len(check_crowding(period, ["gateway-0"], Disturbances())) == 1


def test_run_of_a_refused_request_or_job_is_found():
    """Only requests that may not be repeated were checked."""
    answer, seen = (503, b""), Observations()
    for name in ("q-1", "q-2", "q-3"):
        seen.record_attempt(name, answer, REFUSAL)
    seen.record_attempt("q-3", None, REFUSAL)
    seen.record_attempt("q-3", answer, REFUSAL)
    runs = [{"request": name} for name in ("q-1", "q-2-0-1", "q-3", "q-4")]
    assert len(check_refused(runs, seen)) == 2

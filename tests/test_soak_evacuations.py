"""The soak's check of arrivals in evacuated zones."""

import json

import pytest

from soak.disturbances import Disturbance, Disturbances
from soak.evacuations import Evacuation, check_evacuations

# Ordered at 100 s and removed at 110 s: nothing may arrive from 105 s on.
EVACUATION = Evacuation("zone-1", 100.0, 110.0)


def check(folder, name="engine-1", at=106.0, disturbance=None):
    """Check one arrival at a server; return the violations and the seconds checked."""
    line = {"arrived": "/gypsumshift/report", "at": at}
    (folder / f"{name}.runs").write_text(json.dumps(line))
    disturbances = Disturbances()
    if disturbance is not None:
        disturbances.periods.append(disturbance)
    return check_evacuations(folder, [EVACUATION], disturbances)


def test_an_arrival_after_the_bound_is_found(tmp_path):
    violations, checked = check(tmp_path)
    assert violations == [
        "engine-1.runs: /gypsumshift/report arrived 6.00 s after the evacuation of "
        "zone-1"
    ]
    assert checked == pytest.approx(10.0), "five seconds at each of two servers"


@pytest.mark.parametrize("at", [99.0, 104.9, 110.1])
def test_an_arrival_before_the_bound_or_after_the_removal_is_none(tmp_path, at):
    assert check(tmp_path, at=at)[0] == []


def test_an_arrival_in_another_zone_is_none(tmp_path):
    assert check(tmp_path, "engine-2")[0] == []


def test_faults_excuse_the_processes_that_they_affect(tmp_path):
    fault = Disturbance("agent-1", 101.0, 102.5)
    assert check(tmp_path, disturbance=fault)[0] == []
    assert check(tmp_path, "app-1", disturbance=fault)[0] == []
    over = Disturbance("agent-1", 101.0, 101.5)
    assert check(tmp_path, disturbance=over)[0]
    other = Disturbance("agent-2", 101.0, 106.0)
    assert check(tmp_path, disturbance=other)[0]
    everyone = Disturbance("", 101.0, 106.0)
    assert check(tmp_path, disturbance=everyone)[0] == []

"""Models are assigned to engines in the homes of their jobs."""

import attrs

from gypsumshift.jobs import split_into_units
from gypsumshift.jobs.placement import EngineView, assign_models
from gypsumshift.jobs.regionassignment import RegionAssignment
from gypsumshift.residency import ResidencyRules
from gypsumshift.serving import BackendServer, Directory
from tests.job_builders import SERVICE, items, job
from tests.region_builders import ZONES, make_layout
from tests.region_world import WORKSPACE, make_routes

SHARES = {"m1": 0.5, "m2": 0.5}
# The ids sort so that the engines of ``west`` come first.
ENGINES = {f"e{9 - n}": zone for n, (zone, _) in enumerate(ZONES)}


def make_assignment(workspace_homes=()):
    directory = Directory()
    for number, (name, zone) in enumerate(ENGINES.items()):
        directory.set_server(
            BackendServer(name, SERVICE, ("10.0.0.1", number), zone, 4)
        )
    directory.set_routes(make_routes(1, workspace_homes=workspace_homes))
    return RegionAssignment(ResidencyRules(directory, make_layout()))


def assign(assignment):
    """Return the zones whose engines serve the model ``m2``, and the assignment."""
    value = job(split_into_units(items(1)), model="m2")
    jobs = {"m2": attrs.evolve(value, workspace=WORKSPACE)}
    views = [EngineView(name) for name in ENGINES]
    found = assignment.assign(views, SHARES, {}, False, jobs)
    return {ENGINES[e][:-2] for e, models in found.items() if "m2" in models}, found


def test_without_homes_models_are_assigned_as_in_one_region():
    expected = assign_models([EngineView(name) for name in ENGINES], SHARES, {})
    assert assign(make_assignment())[1] == expected


def test_a_model_is_assigned_in_each_home_of_its_jobs_and_nowhere_else():
    """Its engines were chosen among all regions before, whatever the homes."""
    for homes in (("north",), ("south", "west")):
        regions, found = assign(make_assignment(homes))
        assert regions == set(homes)
        assert found.keys() == ENGINES.keys() and all(found.values())


def test_a_region_in_which_no_model_may_run_keeps_its_assignment():
    """Engines without a model would load no weights, and return cold later."""
    assignment = make_assignment(("nowhere",))
    value = job(split_into_units(items(1)), model="m2")
    jobs = {m: attrs.evolve(value, workspace=WORKSPACE) for m in SHARES}
    views = [EngineView(name) for name in ENGINES]
    assert all(assignment.assign(views, SHARES, {}, False, jobs).values())

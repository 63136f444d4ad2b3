"""A job's units are left to the region that accepted it, as long as it has room."""

import random

import attrs
import pytest

from gypsumshift.jobs import split_into_units
from gypsumshift.jobs.capacity import FreeCapacity
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.jobregions import LEAVE_TO_REGION, JobRegions
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.records import AGENTS, Heartbeat
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.platforms import Row
from gypsumshift.residency import ResidencyRules
from gypsumshift.serving import BackendServer, Directory
from tests.builders import ManualClock
from tests.job_builders import MODEL, SERVICE, claim_row, items, job, job_row
from tests.region_builders import make_layout
from tests.region_world import make_routes

CAPACITY = FreeCapacity(4, 0, ())


class Region:
    """An agent of the region ``north`` that knows one engine of ``south``."""

    def __init__(self, zone="north-a"):
        self.clock = ManualClock()
        self.directory = Directory()
        self.directory.set_routes(make_routes(1))
        peers = Peers("own", self.clock)
        self.peers = peers
        self.tracker = ClaimTracker("own", self.clock, random.Random(1), peers)
        rules = ResidencyRules(self.directory, make_layout(zone))
        self.tracker.regions = JobRegions(rules, peers, self.clock)
        self.version = 0

    def engine(self, zone, places, version=1):
        """List an engine, and receive a heartbeat of its agent."""
        name = f"e-{zone}"
        server = BackendServer(
            name, SERVICE, ("10.0.0.1", 1), zone, 4, models={MODEL: version}
        )
        self.directory.set_server(server)
        beat = Heartbeat(f"session-{zone}", engine=name, places=places)
        self.version += 1
        row = Row(AGENTS, f"agent-{zone}", self.version, to_row(beat))
        self.peers.apply_rows([row])

    def job(self, name, region, groups=3):
        """Receive a job of some units of two items that a region accepted."""
        units = split_into_units(items(groups, 2, name))
        value = attrs.evolve(job(units, name), region=region)
        self.tracker.apply_job_rows([job_row(value)])
        return units

    def chosen(self):
        """Return the job of the unit that the agent claims next; None for none."""
        candidate = self.tracker.choose_candidate([MODEL], {MODEL: 1}, CAPACITY)
        return candidate.job.id if candidate else None


def test_units_are_left_to_a_region_with_room_for_all_of_them():
    agent = Region()
    agent.engine("south-a", places=6)
    agent.job("far", "south")
    assert agent.chosen() is None


def test_engines_of_other_regions_help_as_soon_as_the_region_has_no_room():
    """A step must not wait for slots of its region while others are idle."""
    agent = Region()
    agent.engine("south-a", places=4)
    units = agent.job("far", "south")
    assert agent.chosen() == "far"
    row = claim_row("far", units[0].key, "agent-south-a", "session-south-a", 9)
    agent.tracker.apply_claim_rows([row])
    assert agent.chosen() is None, "four items wait, and there are four slots"


@pytest.mark.parametrize(
    "fault", ["no agent", "old weights", "silent", "leaving", "homes"]
)
def test_slots_that_cannot_run_the_job_do_not_count(fault):
    agent = Region()
    if fault != "no agent":
        agent.engine("south-a", 9, version=0 if fault == "old weights" else 1)
    if fault == "silent":
        agent.clock.advance(5.0)
    if fault == "leaving":
        [engine] = agent.directory.ready_engines()
        agent.directory.set_server(attrs.evolve(engine, ready=False))
    if fault == "homes":
        agent.directory.set_routes(make_routes(2, {"/run/": ("north",)}))
    agent.job("far", "south")
    assert agent.chosen() == "far"


def test_units_that_wait_for_a_second_are_no_longer_left_to_the_region():
    """Its engines may report free slots and still not claim the units."""
    agent = Region()
    agent.engine("south-a", places=9)
    agent.job("far", "south")
    agent.clock.advance(LEAVE_TO_REGION)
    agent.engine("south-a", places=9)
    assert agent.chosen() == "far"


def test_jobs_of_the_own_region_come_first():
    agent = Region()
    agent.job("far", "south")
    agent.job("near", "north")
    agent.job("any", "")
    assert {agent.chosen() for _ in range(20)} <= {"near", "any"}
    assert agent.chosen() is not None


def test_in_one_region_the_oldest_job_comes_first():
    """A row with a region must change nothing where there are no regions."""
    agent = Region()
    agent.tracker.regions = None
    agent.job("first", "south", groups=6)
    agent.clock.advance(0.1)
    agent.job("second", "")
    agent.engine("south-a", places=9)
    assert {agent.chosen() for _ in range(20)} == {"first"}


def test_a_plan_counts_on_the_engines_of_the_region_only():
    """Units planned for an engine that leaves them to the region would wait."""
    agent = Region("south-a")
    agent.engine("south-a", 4)
    agent.engine("north-a", 4)
    agent.job("far", "south")
    open_job = agent.tracker.open_jobs["far"]
    regions, servers = agent.tracker.regions, agent.directory.servers
    planned = [
        s.zone for s in servers.values() if regions.may_be_planned(open_job.job, s)
    ]
    assert planned == ["south-a"]

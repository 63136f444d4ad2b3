"""Region of batch jobs: a job runs in the region that accepted it first.

Engines of other regions run its items only if those of its region have no room, so that
prompts and outputs cross regions as rarely as possible and steps do not wait.
"""

from collections.abc import Callable

from gypsumshift.clock import Clock
from gypsumshift.jobs.openjob import OpenJob, StoredClaim
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.records import Job
from gypsumshift.residency import ResidencyRules
from gypsumshift.serving.directory import BackendServer

__all__ = ["JobRegions"]

# Seconds after which units that wait are no longer left to the job's region, although
# its engines report free slots: they may serve other models, or lag behind. The items
# of a step have 7.5 s.
LEAVE_TO_REGION = 1.0


class JobRegions:
    """Decides whether an agent leaves the units of a job to the job's region.

    Parameters
    ----------
    residency : ResidencyRules
        Provides the homes of jobs, and the layout and directory.
    peers : Peers
        Provides the free slots of the other agents' engines.
    clock : Clock
    """

    def __init__(self, residency: ResidencyRules, peers: Peers, clock: Clock):
        self.residency = residency
        self.layout = residency.layout
        self.directory = residency.directory
        self.peers = peers
        self.clock = clock

    def is_foreign(self, job: Job) -> bool:
        """Return whether a job runs first in another region than this one."""
        if not job.region or job.region == self.layout.job_region:
            return False
        return self.residency.of_job(job).allows(job.region)

    def leaves_to_region(
        self, open_job: OpenJob, is_free: Callable[[StoredClaim | None], bool]
    ) -> bool:
        """Return whether the engines of a job's region have room for its items.

        Parameters
        ----------
        open_job : OpenJob
        is_free : callable
            Returns whether the unit of a claim may be claimed.
        """
        job = open_job.job
        if not self.is_foreign(job):
            return False
        if self.clock.monotonic() - open_job.first_seen_at >= LEAVE_TO_REGION:
            return False
        waiting = sum(
            len(unit.items)
            for unit in open_job.order
            if is_free(open_job.claims.get(unit.key))
        )
        return self.free_slots(job) >= waiting

    def may_be_planned(self, job: Job, engine: BackendServer) -> bool:
        """Return whether a plan may count on an engine for a job's units."""
        if not job.region or not self.residency.of_job(job).allows(job.region):
            return True
        return self.layout.region_of(engine.zone) == job.region

    def free_slots(self, job: Job) -> int:
        """Return the free slots of the engines that may run a job in its region."""
        servers = {server.id: server for server in self.directory.ready_engines()}
        found = 0
        for state in self.peers.states.values():
            beat = state.heartbeat
            server = servers.get(beat.engine)
            if server is None or not self.peers.is_recent(state.seen_at):
                continue
            if self.layout.region_of(server.zone) != job.region:
                continue
            if server.models.get(job.model, 0) >= job.oldest_version or not job.model:
                found += beat.places
        return found

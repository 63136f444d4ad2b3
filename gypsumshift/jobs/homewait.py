"""Log of batch jobs whose home regions have no engine, so that their items wait."""

from gypsumshift import logs
from gypsumshift.jobs.jobmanager import JobManager
from gypsumshift.jobs.records import Job
from gypsumshift.metrics import Metrics
from gypsumshift.residency import ResidencyRules

__all__ = ["HomeWaitLog"]

log = logs.logger("homes")


class HomeWaitLog:
    """Logs when a job begins and ceases to wait for an engine in its homes.

    The gateways of the region that accepted a job log it, since the agents in its homes
    may all be gone.

    Parameters
    ----------
    rules : ResidencyRules
    manager : JobManager
    metrics : Metrics

    Attributes
    ----------
    waiting : set of str
        Jobs that wait.
    """

    def __init__(self, rules: ResidencyRules, manager: JobManager, metrics: Metrics):
        self.rules = rules
        self.manager = manager
        self.metrics = metrics
        self.waiting: set[str] = set()

    def update(self) -> None:
        """Log the jobs that began or ceased to wait since the last call."""
        if not self.rules.in_force and not self.waiting:
            return
        now = {job.id for job in self.manager.jobs.values() if self.is_waiting(job)}
        for job_id in sorted(now - self.waiting):
            self.metrics.count("jobs_without_home_engine")
            logs.event(
                log,
                "The items of a batch job wait: its home regions have no engine.",
                job=job_id,
                homes=self.homes_of(self.manager.jobs[job_id]),
            )
        for job_id in sorted(self.waiting - now):
            logs.event(
                log,
                "A batch job no longer waits for an engine in its home regions.",
                job=job_id,
            )
        self.waiting = now

    def is_waiting(self, job: Job) -> bool:
        """Return whether a job has open items and no engine may run them."""
        residency = self.rules.of_job(job)
        if not residency.is_restricted or job.id in self.manager.ended_at:
            return False
        if job.region not in ("", self.rules.layout.own.region):
            return False
        if len(self.manager.result_reader.result_log(job.id)) >= job.item_count:
            return False
        engines = self.rules.directory.ready_engines()
        return not any(self.rules.permits(residency, engine) for engine in engines)

    def homes_of(self, job: Job) -> list[str]:
        """Return the home regions of a job that apply to it."""
        homes = self.rules.of_job(job).homes
        return sorted(frozenset.intersection(*homes))

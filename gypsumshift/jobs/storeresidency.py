"""Residency of store calls, which carry the bodies of batch-job items.

What the store holds is the platform's responsibility. A call that is relayed through
another process, however, sends the bodies in it or in its answer to that host.
"""

from collections.abc import Callable, Iterable

from gypsumshift.jobs.records import PARTIALS, RESULTS, TEXTS, UNITS, Job
from gypsumshift.residency import ANYWHERE, Residency, ResidencyRules

__all__ = ["StoreResidency"]

# Tables whose rows hold prompts, outputs or reward calls.
BODY_TABLES = frozenset({UNITS, PARTIALS, RESULTS, TEXTS})


class StoreResidency:
    """Decides through which regions a store call may be relayed.

    Parameters
    ----------
    rules : ResidencyRules

    Attributes
    ----------
    find_job : callable
        Returns a known batch job by its id; None for an unknown one.
    """

    def __init__(self, rules: ResidencyRules):
        self.rules = rules
        self.find_job: Callable[[str], Job | None] = lambda job_id: None

    def of_rows(self, rows: Iterable[tuple[str, str]]) -> Residency:
        """Return the residency of a call that carries some rows.

        Bodies of unknown jobs, and of whole tables, stay in the region of this process.

        Parameters
        ----------
        rows : iterable of (str, str)
            Table and part of each row; the part of a job's rows is its id.
        """
        if not self.rules.in_force:
            return ANYWHERE
        jobs = {part for table, part in rows if table in BODY_TABLES}
        homes: dict[frozenset[str], None] = {}
        for job_id in sorted(jobs):
            job = self.find_job(job_id)
            residency = self.rules.of_job(job) if job else self.rules.of_own_region()
            homes.update(dict.fromkeys(residency.homes))
        return Residency(tuple(homes))

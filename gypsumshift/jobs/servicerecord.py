"""Record of how much each workspace and each trainer was served lately.

It is kept by each agent from the claims that all agents see. An agent that has just
started has an empty record. Until the difference has decayed, it may at times admit
other steps than the others do.
"""

import math
from collections.abc import Iterable

from gypsumshift.jobs.engineshares import Division, StepNeed, StepRank

__all__ = ["ServiceRecord"]

# Factor by which the record of each workspace is reduced each time that it is updated,
# twice a second: it is halved after a minute. A shorter memory does not cover enough
# steps of each trainer to divide the engines equally.
DECAY = 0.5 ** (0.5 / 60.0)


class ServiceRecord:
    """Tokens that were started for the admitted steps of each workspace.

    Attributes
    ----------
    tokens : dict of str to float
        Tokens by workspace.
    last_steps : dict
        Time of submission of the last step whose items have all started, by workspace
        and model.
    steps : dict of str to StepNeed
        Steps that were open at the last update, by job.
    """

    def __init__(self):
        self.tokens: dict[str, float] = {}
        self.last_steps: dict[tuple[str, str], float] = {}
        self.steps: dict[str, StepNeed] = {}

    def last_step_of(self, workspace: str, model: str) -> float:
        """Return when the last completely started step of a trainer was submitted."""
        return self.last_steps.get((workspace, model), -math.inf)

    def record(self, steps: Iterable[StepNeed], division: Division) -> None:
        """Add the tokens and note the steps that were started since the last update.

        Parameters
        ----------
        steps : iterable of StepNeed
            All open steps.
        division : Division
            Division that was in force since the last update.
        """
        now = {step.job: step for step in steps}
        for workspace in self.tokens:
            self.tokens[workspace] *= DECAY
        self.limit_credit(now)
        for step in now.values():
            if division.ranks.get(step.job) is StepRank.ADMITTED:
                self.add_started_tokens(step)
        for step in self.steps.values():
            if step.job not in now or not now[step.job].tokens:
                trainer = (step.workspace, step.model)
                last = self.last_step_of(*trainer)
                self.last_steps[trainer] = max(last, step.submitted)
        self.steps = now

    def add_started_tokens(self, step: StepNeed) -> None:
        """Add the tokens of a step that were started since the last update."""
        before = self.steps[step.job].begun_share if step.job in self.steps else 0.0
        started = max(0.0, step.begun_share - before) * step.total_tokens
        self.tokens[step.workspace] = self.tokens.get(step.workspace, 0.0) + started

    def limit_credit(self, now: dict[str, StepNeed]) -> None:
        """Limit the advantage of workspaces that had no open step to one step.

        Otherwise a workspace that returns would take all engines that it can use until
        it has made up for the time of its absence.
        """
        active = {step.workspace for step in self.steps.values()}
        lowest = min((self.tokens.get(name, 0.0) for name in active), default=0.0)
        for step in now.values():
            if step.workspace not in active:
                known = self.tokens.get(step.workspace, 0.0)
                credit = lowest - step.total_tokens
                self.tokens[step.workspace] = max(known, credit)

"""Storage of the groups, samples and steps of trainers in the platform's services.

Any process may change the data of any trainer at any time. Each change is one
conditional transaction, which keeps the data consistent whichever process commits it:

- a group is accepted once per id that the trainer gave it;
- a ready group names an object that was stored once and is not overwritten;
- sealing a step removes its groups from the list in the transaction that writes
  the step. The transaction is conditional on an unchanged row of the trainer,
  which contains the weight version against which staleness was checked.
"""

import asyncio
import json
import secrets

import attrs
import cattrs

from gypsumshift.groups import Group, Sample, Step, TrainerState
from gypsumshift.outcomes import (
    Committed,
    Conflict,
    Missing,
    Unavailable,
    Unknown,
    WriteOutcome,
)
from gypsumshift.platforms import ABSENT, Platform, Row, Write

__all__ = ["TrainerStore", "is_fresh"]

TRAINERS_TABLE = "trainers"
GROUPS_TABLE = "groups"
IDS_TABLE = "group_ids"
STEPS_TABLE = "steps"
RETAINED_STEPS = 2
MAX_COMMIT_TRIES = 4
MAX_CONCURRENT_READS = 32


def group_key(trainer: str, number: int) -> str:
    """Return the key of a group's row; keys sort in order of acceptance."""
    return f"{trainer}/{number:012d}"


def step_key(trainer: str, number: int) -> str:
    """Return the key of a step's row; keys sort by step number."""
    return f"{trainer}/{number:012d}"


class TrainerStore:
    """Reads and writes the groups and steps of one trainer.

    Parameters
    ----------
    platform : Platform
    trainer : str
        Name of the trainer.
    """

    def __init__(self, platform: Platform, trainer: str):
        self.tables = platform.tables
        self.objects = platform.objects
        self.trainer = trainer

    async def read_state(self) -> TrainerState | Unavailable:
        """Read the trainer's row; an absent row gives the initial state."""
        row = await self.tables.read(TRAINERS_TABLE, self.trainer)
        if isinstance(row, Unavailable):
            return row
        if isinstance(row, Missing):
            return TrainerState()
        return TrainerState(**row.value, row_version=row.version)

    def state_write(self, state: TrainerState, **changes: int) -> Write:
        """Return a write of the trainer's row, conditional on its version."""
        value = attrs.asdict(attrs.evolve(state, **changes))
        del value["row_version"]
        return Write(TRAINERS_TABLE, self.trainer, value, state.row_version)

    async def read_groups(self) -> list[tuple[Row, Group]] | Unavailable:
        """Return the groups that are in no step yet, in order of acceptance."""
        rows = await self.tables.scan(GROUPS_TABLE, f"{self.trainer}/")
        if isinstance(rows, Unavailable):
            return rows
        return [(row, cattrs.structure(row.value, Group)) for row in rows]

    async def accept_groups(self, groups: list[Group]) -> int | Unavailable | Unknown:
        """Accept groups, each once per id; return how many were new."""
        result = Unavailable(
            f"accepting groups of trainer {self.trainer}: its row was changed by"
            f" others in all {MAX_COMMIT_TRIES} tries"
        )
        for _ in range(MAX_COMMIT_TRIES):
            state = await self.read_state()
            if isinstance(state, Unavailable):
                return state
            new = await self.filter_new(groups)
            if isinstance(new, Unavailable):
                return new
            if not new:
                return 0
            outcome = await self.tables.commit(self.accept_writes(state, new))
            if isinstance(outcome, Committed):
                return len(new)
            if isinstance(outcome, Unavailable):
                return outcome
            if isinstance(outcome, Unknown):
                result = outcome
        return result

    async def filter_new(self, groups: list[Group]) -> list[Group] | Unavailable:
        """Return the groups whose ids have not been accepted yet."""
        by_id = {group.id: group for group in reversed(groups)}
        rows = await asyncio.gather(
            *(self.tables.read(IDS_TABLE, f"{self.trainer}/{name}") for name in by_id)
        )
        for row in rows:
            if isinstance(row, Unavailable):
                return row
        pairs = zip(by_id.values(), rows, strict=True)
        new = [group for group, row in pairs if isinstance(row, Missing)]
        return list(reversed(new))

    def accept_writes(self, state: TrainerState, groups: list[Group]) -> list[Write]:
        """Return the writes of the transaction that accepts new groups."""
        accepted = state.accepted
        writes = [self.state_write(state, accepted=accepted + len(groups))]
        for number, group in enumerate(groups, accepted + 1):
            numbered = attrs.evolve(group, number=number, object="", oldest=0, newest=0)
            key = f"{self.trainer}/{group.id}"
            writes.append(Write(IDS_TABLE, key, {"number": number}, ABSENT))
            row_key = group_key(self.trainer, number)
            writes.append(Write(GROUPS_TABLE, row_key, attrs.asdict(numbered), ABSENT))
        return writes

    async def request_step(
        self, number: int, version: int
    ) -> TrainerState | Conflict | Unavailable:
        """Store which step the trainer requests and which version it trains on.

        The stored version never decreases. A request for a step after the next one
        is a conflict.
        """
        for _ in range(MAX_COMMIT_TRIES):
            state = await self.read_state()
            if isinstance(state, Unavailable):
                return state
            if number > state.sealed + 1:
                return Conflict(
                    f"step {number} was requested, but step {state.sealed + 1} is next"
                )
            wanted = max(state.wanted, number)
            version = max(state.version, version)
            if (wanted, version) == (state.wanted, state.version):
                return state
            write = self.state_write(state, wanted=wanted, version=version)
            outcome = await self.tables.commit([write])
            if isinstance(outcome, Unavailable):
                return outcome
        return Unavailable(
            f"requesting step {number} of trainer {self.trainer}: its row was changed"
            f" by others in all {MAX_COMMIT_TRIES} tries"
        )

    def new_object_name(self, group: Group) -> str:
        """Return a new name for the object that contains a group's samples.

        Each result of a group is a separate object; the group's row names only one
        of them.
        """
        number = f"{group.number:012d}"
        return f"samples/{self.trainer}/{number}-{secrets.token_hex(6)}"

    async def finish_group(
        self, row: Row, group: Group, samples: list[Sample], name: str = ""
    ) -> WriteOutcome:
        """Store a group's samples as an object and mark the group ready.

        The group's row must be unchanged since it was read. After an unknown outcome
        the call may be repeated with the same ``name``.
        """
        name = name or self.new_object_name(group)
        data = json.dumps([attrs.asdict(sample) for sample in samples]).encode()
        outcome = await self.objects.put(name, data)
        if isinstance(outcome, (Unavailable, Unknown)):
            return outcome
        ready = attrs.evolve(
            group,
            object=name,
            oldest=min(sample.oldest for sample in samples),
            newest=max(sample.newest for sample in samples),
        )
        return await self.tables.commit(
            [Write(row.table, row.key, attrs.asdict(ready), row.version)]
        )

    async def fail_group(self, row: Row, group: Group, reason: str) -> WriteOutcome:
        """Mark a group as failed, so that it is not generated again."""
        failed = attrs.evolve(group, failed=reason)
        return await self.tables.commit(
            [Write(row.table, row.key, attrs.asdict(failed), row.version)]
        )

    async def discard_samples(self, row: Row, group: Group) -> WriteOutcome:
        """Make a ready group pending again, then delete its samples."""
        pending = attrs.evolve(group, object="", oldest=0, newest=0)
        outcome = await self.tables.commit(
            [Write(row.table, row.key, attrs.asdict(pending), row.version)]
        )
        if isinstance(outcome, Committed):
            await self.objects.delete(group.object)
        return outcome

    async def seal_step(
        self, size: int, bound: int
    ) -> Step | Missing | Conflict | Unavailable | Unknown:
        """Seal the requested step if enough groups within the bound are ready.

        Ready groups that exceed the bound are made pending again. If the requested
        step is already sealed, it is returned.

        Parameters
        ----------
        size : int
            Number of groups in a step.
        bound : int
            Maximum number of versions by which a token may be older than the version
            that the trainer trains on.

        Returns
        -------
        Step, Missing (too few groups are ready), or the outcome of the failed access
        """
        state = await self.read_state()
        if isinstance(state, Unavailable):
            return state
        if state.wanted <= state.sealed:
            return await self.read_step(state.sealed)
        pairs = await self.read_groups()
        if isinstance(pairs, Unavailable):
            return pairs
        fresh = []
        for row, group in pairs:
            if not group.is_ready:
                continue
            if is_fresh(group, state, bound):
                fresh.append((row, group))
            else:
                await self.discard_samples(row, group)
        if len(fresh) < size:
            return Missing()
        return await self.commit_step(state, fresh[:size])

    async def commit_step(self, state: TrainerState, chosen: list[tuple[Row, Group]]):
        """Write a step and remove its groups from the list in one transaction."""
        number = state.sealed + 1
        step = Step(number, state.version, [group for _, group in chosen])
        writes = [self.state_write(state, sealed=number)]
        row_key = step_key(self.trainer, number)
        writes.append(Write(STEPS_TABLE, row_key, attrs.asdict(step), ABSENT))
        for row, _ in chosen:
            writes.append(Write(row.table, row.key, None, row.version))
        outcome = await self.tables.commit(writes)
        return step if isinstance(outcome, Committed) else outcome

    async def read_step(self, number: int) -> Step | Missing | Unavailable:
        """Return a sealed step; Missing if it is not sealed or no longer stored."""
        row = await self.tables.read(STEPS_TABLE, step_key(self.trainer, number))
        if isinstance(row, (Missing, Unavailable)):
            return row
        return cattrs.structure(row.value, Step)

    async def read_samples(self, step: Step) -> list[Sample] | Missing | Unavailable:
        """Return the samples of a step, in the order of its groups."""
        slots = asyncio.Semaphore(MAX_CONCURRENT_READS)

        async def read(group: Group) -> bytes | Missing | Unavailable:
            async with slots:
                return await self.objects.get(group.object)

        found = []
        for data in await asyncio.gather(*(read(group) for group in step.groups)):
            if not isinstance(data, bytes):
                return data
            found += cattrs.structure(json.loads(data), list[Sample])
        return found

    async def remove_old_step(self, sealed: int) -> None:
        """Remove the step that is ``RETAINED_STEPS`` before ``sealed``.

        The steps after it stay available for repeated requests.
        """
        old = sealed - RETAINED_STEPS
        step = await self.read_step(old) if old > 0 else Missing()
        if not isinstance(step, Step):
            return
        for group in step.groups:
            await self.objects.delete(group.object)
        await self.tables.commit([Write(STEPS_TABLE, step_key(self.trainer, old))])


def is_fresh(group: Group, state: TrainerState, bound: int) -> bool:
    """Return whether all tokens of a ready group are within the staleness bound."""
    return group.oldest >= state.version - bound

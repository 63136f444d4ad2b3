"""Ledger: the groups, samples and steps of trainers, in the table service.

Any process may act on any trainer here at any time. Each move is one
transaction whose conditions make it right, whoever makes it:

- a group is accepted once per the trainer's own id;
- a ready group names an object that was put once;
- sealing a step takes its groups off the list in the same transaction that
  writes the step, on the condition that the trainer's row is unchanged, and
  with it the version that staleness was checked against.
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
    """Return the key of a group's row; keys sort by acceptance."""
    return f"{trainer}/{number:012d}"


def step_key(trainer: str, number: int) -> str:
    """Return the key of a step's row."""
    return f"{trainer}/{number:012d}"


class TrainerStore:
    """The ledger of one trainer.

    Parameters
    ----------
    platform : Platform
    trainer : str
    """

    def __init__(self, platform: Platform, trainer: str):
        self.tables = platform.tables
        self.objects = platform.objects
        self.trainer = trainer

    async def read_state(self) -> TrainerState | Unavailable:
        """Return where the trainer stands."""
        row = await self.tables.read(TRAINERS_TABLE, self.trainer)
        if isinstance(row, Unavailable):
            return row
        if isinstance(row, Missing):
            return TrainerState()
        return TrainerState(**row.value, row_version=row.version)

    def state_write(self, trainee: TrainerState, **changes: int) -> Write:
        """Return the write that changes the trainer's row, unless it was changed."""
        value = attrs.asdict(attrs.evolve(trainee, **changes))
        del value["row_version"]
        return Write(TRAINERS_TABLE, self.trainer, value, trainee.row_version)

    async def read_groups(self) -> list[tuple[Row, Group]] | Unavailable:
        """Return the groups that no step has taken yet, in order of acceptance."""
        rows = await self.tables.scan(GROUPS_TABLE, f"{self.trainer}/")
        if isinstance(rows, Unavailable):
            return rows
        return [(row, cattrs.structure(row.value, Group)) for row in rows]

    async def accept_groups(self, groups: list[Group]) -> int | Unavailable | Unknown:
        """Accept groups, each once per id; return how many were new."""
        result = Unavailable("the trainer's row changed again and again")
        for _ in range(MAX_COMMIT_TRIES):
            trainee = await self.read_state()
            if isinstance(trainee, Unavailable):
                return trainee
            fresh = await self.filter_new(groups)
            if isinstance(fresh, Unavailable):
                return fresh
            if not fresh:
                return 0
            outcome = await self.tables.commit(self.accept_writes(trainee, fresh))
            if isinstance(outcome, Committed):
                return len(fresh)
            if isinstance(outcome, Unavailable):
                return outcome
            if isinstance(outcome, Unknown):
                result = outcome
        return result

    async def filter_new(self, groups: list[Group]) -> list[Group] | Unavailable:
        """Return the groups whose ids were not accepted before."""
        named = {group.id: group for group in reversed(groups)}
        rows = await asyncio.gather(
            *(self.tables.read(IDS_TABLE, f"{self.trainer}/{name}") for name in named)
        )
        for row in rows:
            if isinstance(row, Unavailable):
                return row
        pairs = zip(named.values(), rows, strict=True)
        fresh = [group for group, row in pairs if isinstance(row, Missing)]
        return list(reversed(fresh))

    def accept_writes(self, trainee: TrainerState, groups: list[Group]) -> list[Write]:
        """Return the transaction that accepts new groups."""
        accepted = trainee.accepted
        writes = [self.state_write(trainee, accepted=accepted + len(groups))]
        for number, group in enumerate(groups, accepted + 1):
            numbered = attrs.evolve(group, number=number, object="", oldest=0, newest=0)
            key = f"{self.trainer}/{group.id}"
            writes.append(Write(IDS_TABLE, key, {"number": number}, ABSENT))
            place = group_key(self.trainer, number)
            writes.append(Write(GROUPS_TABLE, place, attrs.asdict(numbered), ABSENT))
        return writes

    async def request_step(
        self, number: int, version: int
    ) -> TrainerState | Conflict | Unavailable:
        """Note that the trainer asks for a step and which version it trains on.

        The version only ever grows. A step after the next is a conflict.
        """
        for _ in range(MAX_COMMIT_TRIES):
            trainee = await self.read_state()
            if isinstance(trainee, Unavailable):
                return trainee
            if number > trainee.sealed + 1:
                return Conflict(f"step {trainee.sealed + 1} comes first")
            wanted = max(trainee.wanted, number)
            version = max(trainee.version, version)
            if (wanted, version) == (trainee.wanted, trainee.version):
                return trainee
            write = self.state_write(trainee, wanted=wanted, version=version)
            outcome = await self.tables.commit([write])
            if isinstance(outcome, Unavailable):
                return outcome
        return Unavailable("the trainer's row changed again and again")

    def new_object_name(self, group: Group) -> str:
        """Return a new name for the object with a group's samples.

        A second result of the same group is another object, and only one of them
        is ever named by the row.
        """
        number = f"{group.number:012d}"
        return f"samples/{self.trainer}/{number}-{secrets.token_hex(6)}"

    async def finish_group(
        self, row: Row, group: Group, samples: list[Sample], name: str = ""
    ) -> WriteOutcome:
        """Put a group's samples as an object and mark it ready, where it still waits.

        With the same ``name`` again it is harmless after an unknown outcome.
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
        """Set a group aside that no engine will generate."""
        failed = attrs.evolve(group, failed=reason)
        return await self.tables.commit(
            [Write(row.table, row.key, attrs.asdict(failed), row.version)]
        )

    async def discard_samples(self, row: Row, group: Group) -> WriteOutcome:
        """Take a ready group's samples back, to have it generated again."""
        opened = attrs.evolve(group, object="", oldest=0, newest=0)
        outcome = await self.tables.commit(
            [Write(row.table, row.key, attrs.asdict(opened), row.version)]
        )
        if isinstance(outcome, Committed):
            await self.objects.delete(group.object)
        return outcome

    async def seal_step(
        self, size: int, bound: int
    ) -> Step | Missing | Conflict | Unavailable | Unknown:
        """Seal the step that is wanted, where enough fresh groups are ready.

        Parameters
        ----------
        size : int
            Groups in a step.
        bound : int
            Versions that the oldest token may lag behind the trainer.

        Returns
        -------
        Step, Missing (not enough is ready yet), or how the transaction failed
        """
        trainee = await self.read_state()
        if isinstance(trainee, Unavailable):
            return trainee
        if trainee.wanted <= trainee.sealed:
            return await self.read_step(trainee.sealed)
        pairs = await self.read_groups()
        if isinstance(pairs, Unavailable):
            return pairs
        fresh = []
        for row, group in pairs:
            if not group.is_ready:
                continue
            if is_fresh(group, trainee, bound):
                fresh.append((row, group))
            else:
                await self.discard_samples(row, group)
        if len(fresh) < size:
            return Missing()
        return await self.commit_step(trainee, fresh[:size])

    async def commit_step(self, trainee: TrainerState, chosen: list[tuple[Row, Group]]):
        """Write a step and take its groups off the list, in one transaction."""
        number = trainee.sealed + 1
        step = Step(number, trainee.version, [group for _, group in chosen])
        writes = [self.state_write(trainee, sealed=number)]
        place = step_key(self.trainer, number)
        writes.append(Write(STEPS_TABLE, place, attrs.asdict(step), ABSENT))
        for row, _ in chosen:
            writes.append(Write(row.table, row.key, None, row.version))
        outcome = await self.tables.commit(writes)
        return step if isinstance(outcome, Committed) else outcome

    async def read_step(self, number: int) -> Step | Missing | Unavailable:
        """Return a sealed step that is still kept."""
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
        """Remove a step that the trainer has long pulled past."""
        old = sealed - RETAINED_STEPS
        step = await self.read_step(old) if old > 0 else Missing()
        if not isinstance(step, Step):
            return
        for group in step.groups:
            await self.objects.delete(group.object)
        await self.tables.commit([Write(STEPS_TABLE, step_key(self.trainer, old))])


def is_fresh(group: Group, trainee: TrainerState, bound: int) -> bool:
    """Tell whether a ready group is within the staleness bound."""
    return group.oldest >= trainee.version - bound

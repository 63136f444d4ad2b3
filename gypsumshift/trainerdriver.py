"""Generation of the groups of each trainer by the one entry that holds its lease."""

import asyncio
import math

from gypsumshift.dispatch import Dispatcher
from gypsumshift.generated.declarations import Trainer
from gypsumshift.groups import Group, Sample, TrainerState
from gypsumshift.leases import Lease
from gypsumshift.outcomes import Committed, Conflict, Unavailable
from gypsumshift.platforms import Row
from gypsumshift.process import Process
from gypsumshift.sampling import Sampler
from gypsumshift.trainerstore import TrainerStore, is_fresh

__all__ = ["DriverManager", "TrainerDriver", "groups_due", "steps_ahead"]

LEASE_DURATION_S = 4.0
LEASE_RENEWAL_PERIOD_S = 1.0
TICK_PERIOD_S = 0.3
STORE_RETRY_S = 0.5
SEAL_RETRY_PERIOD_S = 0.3
MIN_SEAL_PAUSE_S = 0.05
# Urgencies of samples; a lower number is served first.
AHEAD_URGENCY = 6
STEP_URGENCY = 4
LAST_GROUPS_URGENCY = 2
# A step's groups get the urgency of the last ones once this share of them is ready.
LAST_GROUPS_SHARE = 0.75


def steps_ahead(trainer: Trainer) -> int:
    """Return how many steps to generate beyond the requested one.

    Each step generated ahead adds one version of staleness by the time it is trained
    on, so the number is at most the staleness bound. The declared staleness weight
    selects a value between 0 and the bound.
    """
    return round((1 - trainer.staleness_weight) * trainer.staleness_bound)


def groups_due(trainer: Trainer, state: TrainerState) -> int:
    """Return how many groups should be ready or running.

    Groups overprovisioned for one step are used by the next. With a staleness bound
    of 0 the next step could not use them, so none are overprovisioned.
    """
    steps = steps_ahead(trainer) + (1 if state.wanted > state.sealed else 0)
    if not steps or not trainer.staleness_bound:
        return trainer.groups_per_step * steps
    share = trainer.overprovision * (1 - trainer.staleness_weight)
    return trainer.groups_per_step * steps + math.ceil(trainer.groups_per_step * share)


class TrainerDriver:
    """Generates the groups of one trainer while this entry holds the trainer's lease.

    Parameters
    ----------
    process : Process
    dispatcher : Dispatcher
    name : str
        Name of the trainer.
    """

    def __init__(self, process: Process, dispatcher: Dispatcher, name: str):
        self.process = process
        self.dispatcher = dispatcher
        self.name = name
        self.clock = process.clock
        self.store = TrainerStore(process.platform, name)
        owner = f"{process.member.name}/{process.member.incarnation}"
        tables = process.platform.tables
        lease_name = f"trainer/{name}"
        self.lease = Lease(tables, lease_name, owner, self.clock, LEASE_DURATION_S)
        self.sampler = Sampler(process, dispatcher, name)
        self.running: dict[int, asyncio.Task] = {}
        self.ready_count = 0
        self.wake = asyncio.Event()
        self.step_ready = asyncio.Event()

    @property
    def declaration(self) -> Trainer | None:
        """The trainer in the active revision; None if it is no longer declared."""
        return self.process.active_revision.catalog.trainers.get(self.name)

    async def run(self) -> None:
        """Acquire and renew the lease; start due groups while it is held.

        Ends when the trainer is no longer declared.
        """
        renewing = self.process.spawn(self.run_lease_loop())
        try:
            while self.declaration is not None:
                if self.lease.held and not self.process.member.leaving:
                    await self.start_due_groups()
                else:
                    self.stop_groups()
                self.wake.clear()
                await self.wait_for_tick()
        finally:
            renewing.cancel()
            self.stop_groups()
            await self.lease.release()

    async def wait_for_tick(self) -> None:
        """Wait for the next tick, or until a group has ended or a step is requested."""
        try:
            async with asyncio.timeout(TICK_PERIOD_S):
                await self.wake.wait()
        except TimeoutError:
            pass

    async def run_lease_loop(self) -> None:
        """Renew the lease, or try to acquire it, in a loop."""
        while True:
            if not self.process.member.leaving:
                await self.lease.renew_or_acquire()
            await self.clock.sleep(LEASE_RENEWAL_PERIOD_S)

    def stop_groups(self) -> None:
        """Cancel the generation of all running groups."""
        for task in self.running.values():
            task.cancel()
        self.running.clear()

    async def start_due_groups(self) -> None:
        """Discard stale groups and start the groups that are due."""
        trainer = self.sampler.trainer = self.declaration or self.sampler.trainer
        state = await self.store.read_state()
        pairs = await self.store.read_groups()
        if isinstance(state, Unavailable) or isinstance(pairs, Unavailable):
            return
        self.sampler.oldest_allowed_version = state.version - trainer.staleness_bound
        await self.discard_stale_groups(pairs, state, trainer.staleness_bound)
        ready = [group for _, group in pairs if group.is_ready]
        self.set_ready_count(len(ready))
        to_start = groups_due(trainer, state) - len(ready) - len(self.running)
        missing = trainer.groups_per_step - len(ready)
        for row, group in pairs:
            if to_start <= 0:
                break
            if group.is_pending and group.number not in self.running:
                position = len(self.running) + 1
                self.start_group(row, group, group_urgency(trainer, position, missing))
                to_start -= 1

    def set_ready_count(self, ready: int) -> None:
        """Set how many groups are ready, and signal whether they suffice for a step."""
        self.ready_count = ready
        if ready >= self.sampler.trainer.groups_per_step:
            self.step_ready.set()
        else:
            self.step_ready.clear()

    async def discard_stale_groups(
        self, pairs, state: TrainerState, bound: int
    ) -> None:
        """Make ready groups pending again if they exceed the staleness bound."""
        for row, group in pairs:
            if group.is_ready and not is_fresh(group, state, bound):
                await self.store.discard_samples(row, group)
                self.process.metrics.count("groups_discarded", trainer=self.name)
                group.object = ""

    def start_group(self, row: Row, group: Group, urgency: int) -> None:
        """Start generating a group's samples in a task."""
        task = self.process.spawn(self.generate_group(row, group, urgency))
        self.running[group.number] = task

    async def generate_group(self, row: Row, group: Group, urgency: int) -> None:
        """Generate a group's samples and mark the group ready or failed.

        Samples that become stale while others are generated are generated again.
        """
        try:
            samples: list[Sample | None] = [None] * group.samples
            while missing := self.missing_samples(samples):
                generated = await asyncio.gather(
                    *(
                        self.sampler.generate_sample(group, number, urgency)
                        for number in missing
                    )
                )
                if None in generated:
                    reason = "engines reject the prompt"
                    await self.store.fail_group(row, group, reason)
                    return
                for number, sample in zip(missing, generated, strict=True):
                    samples[number] = sample
            await self.store_group(row, group, samples)
        finally:
            if self.running.get(group.number) is asyncio.current_task():
                del self.running[group.number]
            self.wake.set()

    def missing_samples(self, samples: list[Sample | None]) -> list[int]:
        """Return the numbers of the samples that are absent or stale."""
        missing = []
        for number, sample in enumerate(samples):
            if (
                sample is not None
                and sample.oldest >= self.sampler.oldest_allowed_version
            ):
                continue
            if sample is not None:
                self.sampler.count_wasted(len(sample.token_ids), "stale")
            missing.append(number)
        return missing

    async def store_group(self, row: Row, group: Group, samples: list[Sample]) -> None:
        """Mark a group ready; retry while the platform is unavailable."""
        name = self.store.new_object_name(group)
        while True:
            outcome = await self.store.finish_group(row, group, samples, name)
            if isinstance(outcome, (Committed, Conflict)):
                subject = f"{self.name}/{group.id}"
                self.process.recorder.record("group-ready", subject)
                self.set_ready_count(self.ready_count + 1)
                return
            await self.clock.sleep(STORE_RETRY_S)


def group_urgency(trainer: Trainer, position: int, missing: int) -> int:
    """Return the urgency of a group; the last groups missing from a step go first.

    Parameters
    ----------
    trainer : Trainer
    position : int
        Position among the running groups, from 1.
    missing : int
        Number of groups that the step still lacks.
    """
    if position > missing:
        return AHEAD_URGENCY
    last = missing <= (1 - LAST_GROUPS_SHARE) * trainer.groups_per_step
    return LAST_GROUPS_URGENCY if last else STEP_URGENCY


class DriverManager:
    """Runs one driver for each declared trainer.

    Parameters
    ----------
    process : Process
    dispatcher : Dispatcher
    """

    def __init__(self, process: Process, dispatcher: Dispatcher):
        self.process = process
        self.dispatcher = dispatcher
        self.drivers: dict[str, TrainerDriver] = {}

    def start_missing_drivers(self) -> None:
        """Start a driver for each declared trainer that has none."""
        for name in self.process.active_revision.catalog.trainers:
            if name not in self.drivers:
                driver = TrainerDriver(self.process, self.dispatcher, name)
                self.drivers[name] = driver
                task = self.process.spawn(driver.run())
                task.add_done_callback(
                    lambda _, name=name: self.drivers.pop(name, None)
                )

    async def wait_until_sealable(self, name: str, timeout: float) -> None:
        """Wait until enough groups for a step may be ready, or ``timeout`` seconds.

        Only the entry that holds the trainer's lease is notified of ready groups. On
        any other entry this waits for a short period, so that the caller polls.
        """
        driver = self.drivers.get(name)
        if driver is None or not driver.lease.held:
            await self.process.clock.sleep(min(timeout, SEAL_RETRY_PERIOD_S))
            return
        await self.process.clock.sleep(min(timeout, MIN_SEAL_PAUSE_S))
        try:
            async with asyncio.timeout(timeout):
                await driver.step_ready.wait()
        except TimeoutError:
            pass

    def wake_driver(self, name: str) -> None:
        """Make the trainer's driver on this entry, if any, start due groups now."""
        if name in self.drivers:
            self.drivers[name].wake.set()

    async def release_leases(self) -> None:
        """Stop all groups and release all leases, so that other entries continue."""
        for driver in self.drivers.values():
            driver.stop_groups()
            await driver.lease.release()

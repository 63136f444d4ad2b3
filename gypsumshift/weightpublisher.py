"""Publishing of new weight versions of pools."""

from gypsumshift.outcomes import Committed, Missing, Unavailable, Unknown, WriteOutcome
from gypsumshift.platforms import ABSENT, Write
from gypsumshift.poller import WEIGHTS_PREFIX
from gypsumshift.process import Process
from gypsumshift.revisions import HEADS_TABLE

__all__ = ["WeightPublisher"]

MAX_TRIES = 4


class WeightPublisher:
    """Stores the weights of pools and announces their versions.

    Parameters
    ----------
    process : Process
    """

    def __init__(self, process: Process):
        self.process = process
        self.tables = process.platform.tables

    async def publish(
        self, pool: str, version: int, data: bytes, by: str
    ) -> WriteOutcome:
        """Store the weights, then set the pool's newest version; idempotent.

        Parameters
        ----------
        pool : str
        version : int
        data : bytes
        by : str
            Name of the trainer or operator that publishes, for information.
        """
        stored = await self.process.platform.weights.publish(pool, version, data)
        if isinstance(stored, (Unavailable, Unknown)):
            return stored
        for _ in range(MAX_TRIES):
            outcome = await self.set_newest_version(pool, version, by)
            if isinstance(outcome, Committed):
                self.process.set_target_version(pool, version)
                return outcome
            if isinstance(outcome, Unavailable):
                return outcome
        return Unknown(
            f"the platform did not confirm in {MAX_TRIES} tries that version {version}"
            f" was set as the newest of pool {pool}"
        )

    async def set_newest_version(
        self, pool: str, version: int, by: str
    ) -> WriteOutcome:
        """Set a version as the newest of a pool, unless that one is as new or newer."""
        key = WEIGHTS_PREFIX + pool
        row = await self.tables.read(HEADS_TABLE, key)
        if isinstance(row, Unavailable):
            return row
        if not isinstance(row, Missing) and row.value["version"] >= version:
            return Committed()
        expected = ABSENT if isinstance(row, Missing) else row.version
        time = self.process.clock.now().isoformat(timespec="seconds")
        value = {"version": version, "by": by, "time": time}
        return await self.tables.commit([Write(HEADS_TABLE, key, value, expected)])

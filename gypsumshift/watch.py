"""Watch: keep a local copy of a store table up to date through its change feed."""

import asyncio
import datetime
from collections.abc import Callable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Changes, HistoryLost, Row, RowStore

__all__ = ["StaleRowDetector", "Watch"]

# Maximum time for which the store holds back the answer of a feed. It bounds the time
# to detect a feed that stopped: changes must be in force everywhere within two seconds.
MAX_FEED_WAIT = datetime.timedelta(seconds=0.8)
# The same while the store does not answer, or until a table that was read as a whole is
# confirmed by its feed, so that a recovery is detected soon.
MAX_FEED_WAIT_UNCONFIRMED = datetime.timedelta(seconds=0.1)
# Default pause after an answer with changes. Many small changes then arrive in one
# answer, which limits each process to about 15 calls a second for each table.
BATCH_INTERVAL_S = 0.05
# Delay before the first retry of a failed call, and maximum delay of later ones.
FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.2
# Maximum time between two answers for a table to count as followed in between. Longer
# than a batch interval of a second, the maximum wait of a feed and 0.7 s for its answer
# together; a feed that failed takes longer.
MAX_FOLLOWED_GAP_S = 2.6

log = logs.logger("watch")


class Watch:
    """Follows one table of the store and passes each changed row to a callback.

    Parameters
    ----------
    store : RowStore
    table : str
    apply : callable
        Called with a list of changed rows in the order of writing. A row without a
        value was removed. The same row may be passed more than once.
    replace : callable
        Called with the rows of the whole table after it was read as a whole.
    clock : Clock
    on_recovery : callable
        Called when the store answers again after a failure.
    keeps_rows : bool
        Whether to keep the rows, so that neighbours can request them.
    unreadable : callable or None
        Called with a row that holds no JSON object; by default the row is logged and
        ignored.
    batch_interval : float
        Pause in seconds after an answer with changes. A table that changes constantly
        should be read only as often as its reader needs: the cost grows with the
        number of writers times the number of readers, that is, with the square of the
        number of processes.
    max_feed_wait : timedelta
        Maximum wait of the feed for a change. A shorter one detects a stopped feed
        sooner but costs more calls on a table that seldom changes.

    Attributes
    ----------
    version : int
        Version up to which all changes were received; -1 before the first answer.
    oldest_accepted_version : int
        Version that was reached before the store lost its history. Older copies of the
        whole table are rejected.
    current_at : float
        Time at which the copy was last known to be current, by the monotonic clock.
    confirmed : bool
        Whether the feed has answered since the whole table was read.
    confirmed_at : float
        Start time of the last call in which the store returned all changes of the
        table, by the clock that runs on while the host is suspended. A copy read by
        another process does not count.
    recovered_at : float
        Time at which the store last answered again after a failure.
    followed_seconds : float
        Total time for which the table was followed without gaps.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        apply: Callable[[list[Row]], None],
        replace: Callable[[list[Row]], None],
        clock: Clock,
        on_recovery: Callable[[], None] = lambda: None,
        keeps_rows: bool = False,
        unreadable: Callable[[Row], None] | None = None,
        batch_interval: float = BATCH_INTERVAL_S,
        max_feed_wait: datetime.timedelta = MAX_FEED_WAIT,
    ):
        self.batch_interval = batch_interval
        self.max_feed_wait = max_feed_wait
        self.keeps_rows = keeps_rows
        self.unreadable = unreadable or log_unreadable
        self.rows: dict[tuple[str, str], Row] = {}
        self.on_recovery = on_recovery
        self.store = store
        self.table = table
        self.apply = apply
        self.replace = replace
        self.clock = clock
        self.version = -1
        self.oldest_accepted_version = 0
        self.current_at = float("-inf")
        self.confirmed_at = float("-inf")
        self.confirmed = False
        self.confirming: asyncio.Task | None = None
        self.recovered_at = float("-inf")
        self.followed_seconds = 0.0
        self.failures = 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            before = self.version
            await self.poll_once()
            if self.failures:
                pause = min(
                    FIRST_RETRY_DELAY_S * 2 ** (self.failures - 1), MAX_RETRY_DELAY_S
                )
                await self.clock.sleep(pause)
            elif self.version != before:
                await self.clock.sleep(self.batch_interval)

    async def poll_once(self) -> None:
        """Request changes, or the whole table at first, and process the answer.

        The call decides how the answer is applied, not the state when it arrives: a
        neighbour's copy may be loaded during a read of the whole table, and a whole
        table that is applied as changes would not remove deleted rows.
        """
        if self.version >= 0:
            short_wait = self.failures or not self.confirmed
            await self.poll_changes(
                MAX_FEED_WAIT_UNCONFIRMED if short_wait else self.max_feed_wait
            )
            return
        answer = await self.store.snapshot(self.table, self.oldest_accepted_version)
        self.process_answer(answer, whole=True)

    async def poll_changes(self, wait: datetime.timedelta) -> None:
        """Request changes from the feed; an accepted answer confirms the copy."""
        began = self.clock.monotonic_with_suspend()
        answer = await self.store.changes(self.table, self.version, wait)
        if self.process_answer(answer, whole=False):
            self.confirmed = True
            self.confirmed_at = max(self.confirmed_at, began)

    async def confirm(self) -> None:
        """Request changes without waiting; concurrent callers share one call."""
        if self.version < 0:
            return
        if self.confirming is None or self.confirming.done():
            self.confirming = asyncio.create_task(
                self.poll_changes(datetime.timedelta())
            )
        await asyncio.shield(self.confirming)

    def process_answer(self, answer, whole: bool) -> bool:
        """Process an answer of the store; return whether its rows were accepted."""
        if isinstance(answer, HistoryLost):
            logs.event(
                log,
                "The store lost its change history; the whole table is read again.",
                table=self.table,
            )
            self.oldest_accepted_version = max(self.version, 0)
            self.version = -1
            return False
        if isinstance(answer, Unavailable):
            self.record_failure(answer.reason)
            return False
        return self.accept_answer(answer, whole)

    def accept_answer(self, answer: Changes, whole: bool) -> bool:
        """Apply an answer unless it is too old; return whether it was applied."""
        if whole and answer.version < self.oldest_accepted_version:
            self.reject_old_copy(answer)
            return False
        if self.failures:
            logs.event(
                log, "The store answers again; the table is followed.", table=self.table
            )
            self.failures = 0
            self.recovered_at = self.clock.monotonic()
            self.on_recovery()
        if answer.version < self.version:
            # The store may serve an old copy; the version never decreases.
            return False
        self.record_current(self.clock.monotonic() - answer.age)
        self.apply_answer(answer, whole)
        return True

    def reject_old_copy(self, answer: Changes) -> None:
        """Reject a whole table older than the last one; it is read again later."""
        logs.event(
            log,
            "The store returned an old copy of the table; it is rejected.",
            table=self.table,
            version=answer.version,
            known=self.oldest_accepted_version,
        )
        self.record_failure("the store returned an old copy")

    def record_current(self, at: float) -> None:
        """Record that the copy was current at a time, and count the time followed."""
        passed = at - self.current_at
        if 0 < passed < MAX_FOLLOWED_GAP_S:
            self.followed_seconds += passed
        # A copy read earlier by another process may arrive later; no time counts twice.
        self.current_at = max(at, self.current_at)

    def apply_answer(self, answer: Changes, whole: bool = False) -> None:
        """Pass the rows of an answer to the callbacks and record its version."""
        self.version = answer.version
        if self.keeps_rows:
            self.store_rows(answer.rows, whole)
        rows = [row for row in answer.rows if row.readable]
        if whole:
            # Another process may have read it, some time ago: the feed confirms it.
            self.confirmed = False
            self.replace(rows)
        elif rows:
            self.apply(rows)
        for row in answer.rows:
            if not row.readable:
                self.unreadable(row)

    def store_rows(self, rows: list[Row], whole: bool) -> None:
        """Update the kept rows."""
        if whole:
            self.rows.clear()
        for row in rows:
            self.rows[row.part, row.key] = row
            if row.value is None:
                del self.rows[row.part, row.key]

    def kept_table(self) -> Changes:
        """Return all kept rows and their version."""
        return Changes(list(self.rows.values()), self.version)

    def load_copy(self, changes: Changes) -> bool:
        """Apply a neighbour's copy of the table unless one is present; return whether.

        After a loss of the history, an older copy than the last known one is rejected.
        """
        if self.version >= 0 or changes.version < self.oldest_accepted_version:
            return False
        self.apply_answer(changes, whole=True)
        return True

    def record_failure(self, reason: str) -> None:
        """Count a failed call; the first of consecutive failures is logged."""
        self.failures += 1
        if self.failures == 1:
            logs.event(
                log,
                "The store did not answer; the table is not followed until it does.",
                table=self.table,
                reason=reason,
                version=self.version,
            )


class StaleRowDetector:
    """Finds rows that should be written periodically but no longer are.

    Only time for which the table was followed counts. Otherwise, after an outage of
    61 s, each of 5 processes would assume that the 4 others are gone.

    Parameters
    ----------
    watch : Watch
        Follows the table.

    Attributes
    ----------
    last_seen : dict
        Latest version of each row and `Watch.followed_seconds` when it was received,
        by key.
    valid_from : float
        Value of `Watch.followed_seconds` before which missing writes do not count.
    """

    def __init__(self, watch: Watch):
        self.watch = watch
        self.last_seen: dict[str, tuple[Row, float]] = {}
        self.valid_from = 0.0

    def record_row(self, row: Row) -> None:
        """Record a row as written now, unless its version was received before."""
        known = self.last_seen.get(row.key)
        if known is None or known[0].version != row.version:
            self.last_seen[row.key] = row, self.watch.followed_seconds

    def remove_row(self, key: str) -> None:
        """Stop observing a row that was removed or is invalid."""
        self.last_seen.pop(key, None)

    def restart_timers(self) -> None:
        """Ignore the time until now for all rows."""
        self.valid_from = self.watch.followed_seconds

    def older_than(self, seconds: float) -> list[Row]:
        """Return the last versions of rows that were not written for longer."""
        horizon = self.watch.followed_seconds - seconds
        if self.valid_from > horizon:
            return []
        return [row for row, at in self.last_seen.values() if at < horizon]


def log_unreadable(row: Row) -> None:
    """Log that a row of another writer is ignored."""
    log.error("Row {}/{} ignored: its value is no JSON object", row.table, row.key)


async def run_watches(watches: list[Watch]) -> None:
    """Run watches concurrently until cancelled."""
    async with asyncio.TaskGroup() as group:
        for watch in watches:
            group.create_task(watch.run())

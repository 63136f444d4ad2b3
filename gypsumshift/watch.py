"""Watch: keep a copy of a table current by its feed of changes."""

import asyncio
import datetime
from collections.abc import Callable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Changes, HistoryLost, Row, RowStore

__all__ = ["StaleRowDetector", "Watch"]

# A feed answers after this time at the latest, so that one that fell silent is
# found out soon: changes must be in force everywhere within two seconds.
MAX_FEED_WAIT = datetime.timedelta(seconds=0.8)
# The same while the store does not answer, so that its return is noticed soon.
MAX_FEED_WAIT_UNCONFIRMED = datetime.timedelta(seconds=0.1)
# Seconds between answers that hold changes, unless the owner of a table asks for
# others: many small changes then come in one answer, which bounds the calls of each
# process to some 15 a second and table.
BATCH_INTERVAL_S = 0.05
# Seconds before another try where the store could not be asked.
FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.2
# Seconds between two answers up to which a table counts as heard in between. Longer
# than a pause of a second to gather changes, a feed's longest wait and 0.7 s for its
# answer; a feed that failed takes longer.
MAX_FOLLOWED_GAP_S = 2.6

log = logs.logger("watch")


class Watch:
    """Follows one table, and tells each row that changed.

    Parameters
    ----------
    store : RowStore
    table : str
    apply : callable
        Takes a list of rows in the order of writing. A row without a value was
        removed. Rows may come again.
    replace : callable
        Takes the whole table, where its changes could not be followed.
    clock : Clock
    on_return : callable
        Called when the store answers again after a failure.
    keep : bool
        Keep the rows, for neighbours that ask.
    unreadable : callable or None
        Takes a row that holds no JSON object; by default it is left out.
    gather : float
        Seconds between answers that hold changes. A table that changes all the time is
        asked for only as often as its reader needs it: its cost grows with those who
        write and with those who follow, so with the square of the fleet.
    poll : timedelta
        Longest wait of the feed for a change; the shorter, the sooner one that fell
        silent is found out, and the more calls a calm table costs.

    Attributes
    ----------
    version : int
        Everything up to this version is known; -1 before the first answer.
    known_version : int
        The same before changes were lost; what is read anew must not be older.
    current_at : float
        When the copy was last known to be current, by the monotonic clock.
    confirmed : bool
        Whether changes were told since the whole table was taken.
    confirmed_at : float
        When the exchange began in which the store last told all changes of the table,
        by the clock that counts a suspended host's time. A copy that another process
        read confirms nothing.
    recovered_at : float
        When the store last answered again after a failure.
    heard : float
        Seconds for which the table was told, gaps left out.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        apply: Callable[[list[Row]], None],
        replace: Callable[[list[Row]], None],
        clock: Clock,
        on_return: Callable[[], None] = lambda: None,
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
        self.on_return = on_return
        self.store = store
        self.table = table
        self.apply = apply
        self.replace = replace
        self.clock = clock
        self.version = -1
        self.min_version = 0
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
        """Ask once, and take what was told.

        What was asked decides what the answer is: a neighbour may tell the table while
        the store reads it, and a whole table taken as changes would keep what was
        removed.
        """
        if self.version >= 0:
            hasty = self.failures or not self.confirmed
            await self.poll_changes(
                MAX_FEED_WAIT_UNCONFIRMED if hasty else self.max_feed_wait
            )
            return
        answer = await self.store.snapshot(self.table, self.min_version)
        self.process_answer(answer, whole=True)

    async def poll_changes(self, wait: datetime.timedelta) -> None:
        """Ask for changes, and take them; a whole answer confirms the copy."""
        began = self.clock.monotonic_with_suspend()
        answer = await self.store.changes(self.table, self.version, wait)
        if self.process_answer(answer, whole=False):
            self.confirmed = True
            self.confirmed_at = max(self.confirmed_at, began)

    async def confirm(self) -> None:
        """Ask the store at once; those who ask together share one call."""
        if self.version < 0:
            return
        if self.confirming is None or self.confirming.done():
            self.confirming = asyncio.create_task(
                self.poll_changes(datetime.timedelta())
            )
        await asyncio.shield(self.confirming)

    def process_answer(self, answer, whole: bool) -> bool:
        """Take what was answered; return whether all is known that the store told."""
        if isinstance(answer, HistoryLost):
            logs.event(log, "Changes were lost; reading anew.", table=self.table)
            self.min_version = max(self.version, 0)
            self.version = -1
            return False
        if isinstance(answer, Unavailable):
            self.record_failure(answer.reason)
            return False
        return self.accept_answer(answer, whole)

    def accept_answer(self, answer: Changes, whole: bool) -> bool:
        """Take an answer, unless it is older than what is known; return whether."""
        if whole and answer.version < self.min_version:
            self.reject_old_copy(answer)
            return False
        if self.failures:
            logs.event(log, "The store answers again.", table=self.table)
            self.failures = 0
            self.recovered_at = self.clock.monotonic()
            self.on_return()
        if answer.version < self.version:
            # The store may serve an old copy; nothing steps back.
            return False
        self.record_current(self.clock.monotonic() - answer.age)
        self.apply_answer(answer, whole)
        return True

    def reject_old_copy(self, answer: Changes) -> None:
        """Leave out a whole table from before changes were lost; it is asked again."""
        logs.event(
            log,
            "An old copy is refused.",
            table=self.table,
            version=answer.version,
            known=self.min_version,
        )
        self.record_failure("an old copy")

    def record_current(self, at: float) -> None:
        """Take that the copy is known to be current at a time."""
        passed = at - self.current_at
        if 0 < passed < MAX_FOLLOWED_GAP_S:
            self.followed_seconds += passed
        # What others read before may come later; each second is heard once.
        self.current_at = max(at, self.current_at)

    def apply_answer(self, answer: Changes, whole: bool = False) -> None:
        """Tell the rows of an answer, and remember how far it goes."""
        self.version = answer.version
        if self.keeps_rows:
            self.store_rows(answer.rows, whole)
        rows = [row for row in answer.rows if row.readable]
        if whole:
            # Whoever read it, and when: the next changes confirm it, and soon.
            self.confirmed = False
            self.replace(rows)
        elif rows:
            self.apply(rows)
        for row in answer.rows:
            if not row.readable:
                self.unreadable(row)

    def store_rows(self, rows: list[Row], whole: bool) -> None:
        """Keep rows as they are told."""
        if whole:
            self.rows.clear()
        for row in rows:
            self.rows[row.part, row.key] = row
            if row.value is None:
                del self.rows[row.part, row.key]

    def kept_table(self) -> Changes:
        """Return all rows that are kept, and the version up to which they go."""
        return Changes(list(self.rows.values()), self.version)

    def load_copy(self, changes: Changes) -> bool:
        """Take what a neighbour knows, unless something is known; return whether.

        Nor while changes are lost where it is older than what was known before.
        """
        if self.version >= 0 or changes.version < self.min_version:
            return False
        self.apply_answer(changes, whole=True)
        return True

    def record_failure(self, reason: str) -> None:
        """Count a failure; the first of a row is logged."""
        self.failures += 1
        if self.failures == 1:
            logs.event(
                log,
                "The store does not answer.",
                table=self.table,
                reason=reason,
                version=self.version,
            )


class StaleRowDetector:
    """How long rows that are written again and again have not been written.

    Only time in which the table was told counts: else, after 61 s of an outage, each of
    5 processes takes the 4 others for gone.

    Parameters
    ----------
    watch : Watch
        Follows the table.

    Attributes
    ----------
    told : dict
        Row and `Watch.heard` at the time when it was told first, by key.
    since : float
        `Watch.heard` before which silence says nothing.
    """

    def __init__(self, watch: Watch):
        self.watch = watch
        self.last_seen: dict[str, tuple[Row, float]] = {}
        self.valid_from = 0.0

    def record_row(self, row: Row) -> None:
        """Take a row; one that is read again as it was is no sign of life."""
        known = self.last_seen.get(row.key)
        if known is None or known[0].version != row.version:
            self.last_seen[row.key] = row, self.watch.followed_seconds

    def remove_row(self, key: str) -> None:
        """Take that a row is removed, or not known."""
        self.last_seen.pop(key, None)

    def restart_timers(self) -> None:
        """Take that silence until now says nothing."""
        self.valid_from = self.watch.followed_seconds

    def older_than(self, seconds: float) -> list[Row]:
        """Return the rows, as told last, that have been silent for longer."""
        horizon = self.watch.followed_seconds - seconds
        if self.valid_from > horizon:
            return []
        return [row for row, at in self.last_seen.values() if at < horizon]


def log_unreadable(row: Row) -> None:
    """Say that a row of another writer is left out."""
    log.error("A row holds no JSON object: {}/{}", row.table, row.key)


async def run_watches(watches: list[Watch]) -> None:
    """Run watches side by side until cancelled."""
    async with asyncio.TaskGroup() as group:
        for watch in watches:
            group.create_task(watch.run())

"""Section of the digests with the demand of all processes and the expected retries."""

from gypsumshift.digests import DigestSection
from gypsumshift.serving.demand import (
    MAX_DIGEST_PROCESSES,
    MAX_DIGEST_RETRIES,
    MAX_NAME_LENGTH,
    DemandTable,
    ExpectedRetry,
)
from gypsumshift.serving.demandrates import MAX_OWN_ROWS, Rates
from gypsumshift.serving.demandrecords import ProcessDemand
from gypsumshift.serving.fairshares import OTHERS, REWARD_RANK, ShareKey
from gypsumshift.serving.observations import decode_number

__all__ = ["DemandSection"]

# Longest time ahead for which a retry is announced.
MAX_RETRY_AHEAD_SECONDS = 30.0
# Limits of the values received from other processes.
MAX_PLACES = 10_000.0
MAX_WAITING = 10_000.0
MAX_WEIGHT = 1_000.0
MAX_RETRY_MARK_LENGTH = 16


class DemandSection(DigestSection):
    """Section of a digest with demands and expected retries.

    Parameters
    ----------
    table : DemandTable
    """

    name = "demand"

    def __init__(self, table: DemandTable):
        self.table = table

    def encode(self) -> dict | None:
        """Return the demands and retries; None if there are none."""
        now = self.table.clock.monotonic()
        demands = [encode_demand(each, now) for each in self.table.digest()]
        retries = [
            [retry.mark, round(retry.due_at - now, 3)]
            for retry in self.table.next_retries()
        ]
        if not demands and not retries:
            return None
        return {"demands": demands, "retries": retries}

    def merge(self, value: object) -> None:
        """Merge the section of another process; raise ValueError if it is invalid."""
        if not isinstance(value, dict):
            raise ValueError("invalid demand: not an object")
        now = self.table.clock.monotonic()
        demands, retries = value.get("demands", []), value.get("retries", [])
        if not isinstance(demands, list) or not isinstance(retries, list):
            raise ValueError("invalid demand: demands or retries are not a list")
        decoded = [self.decode(row, now) for row in demands[:MAX_DIGEST_PROCESSES]]
        expected = [decode_retry(r, now) for r in retries[:MAX_DIGEST_RETRIES]]
        self.table.merge(filter(None, decoded))
        for retry in expected:
            self.table.expect_retry(retry.mark, retry.due_at)

    def decode(self, row: object, now: float) -> ProcessDemand | None:
        """Return the demand of one process, its figures limited; None if no news.

        Digests repeat what other processes have sent, so most rows are no news.
        """
        if not isinstance(row, list) or len(row) != 6 or not isinstance(row[5], list):
            raise ValueError("invalid demand: not a list of six values with its rows")
        process, service = decode_name(row[0]), decode_name(row[1])
        reported_at = now - max(decode_number(row[2]), 0.0)
        waiting = min(max(decode_number(row[4]), 0.0), MAX_WAITING)
        if not self.table.is_news(process, service, reported_at):
            return None
        rates = dict(decode_row(each) for each in row[5][: 2 * MAX_OWN_ROWS])
        saw_full = row[3] == 1
        return ProcessDemand(process, service, reported_at, saw_full, waiting, rates)


def encode_demand(record: ProcessDemand, now: float) -> list:
    """Return the demand of one process as JSON values."""
    return [
        record.process,
        record.service,
        round(now - record.reported_at, 2),
        int(record.saw_full),
        round(record.waiting, 1),
        [
            [
                key.rank,
                key.workspace,
                round(rates.long, 4),
                round(rates.short, 4),
                round(rates.weight, 1),
            ]
            for key, rates in record.rates.items()
        ],
    ]


def decode_row(row: object) -> tuple[ShareKey, Rates]:
    """Return the demand of one key, its figures limited."""
    if not isinstance(row, list) or len(row) != 5:
        raise ValueError("invalid demand: a row is not a list of five values")
    rank, workspace, *numbers = row
    if type(rank) is not int or not 0 <= rank <= REWARD_RANK:
        raise ValueError("invalid demand: a rank is not a whole number in its range")
    name = OTHERS if workspace is None else decode_name(workspace)
    long, short, weight = map(decode_number, numbers)
    return ShareKey(rank, name), Rates(
        min(max(long, 0.0), MAX_PLACES),
        min(max(short, 0.0), MAX_PLACES),
        min(max(weight, 1.0), MAX_WEIGHT),
    )


def decode_retry(row: object, now: float) -> ExpectedRetry:
    """Return one expected retry; raise ValueError if the row is invalid."""
    if not isinstance(row, list) or len(row) != 2 or not isinstance(row[0], str):
        raise ValueError("invalid retry: not a list of a hash and a number")
    ahead = min(decode_number(row[1]), MAX_RETRY_AHEAD_SECONDS)
    return ExpectedRetry(row[0][:MAX_RETRY_MARK_LENGTH], now + ahead)


def decode_name(value: object) -> str:
    """Return a name, cut to its maximum length; raise ValueError if not a string."""
    if not isinstance(value, str):
        raise ValueError("invalid demand: a name is not a string")
    return value[: 2 * MAX_NAME_LENGTH]

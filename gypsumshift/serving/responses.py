"""Answers: what the head of a backend server's answer says."""

from gypsumshift.httpclient import Exchange
from gypsumshift.serving.calls import Refused
from gypsumshift.serving.headers import HOP_BY_HOP, HeaderNames

__all__ = ["mismatched_request_id", "end_to_end_headers", "parse_refusal"]

# HTTP status of a server that is not the one expected at its address.
MISDIRECTED = 421
# Those with which a server may vouch that it has not run a request.
NOT_RUN_STATUSES = (429, 503, 400)


def parse_refusal(exchange: Exchange, names: HeaderNames) -> Refused | None:
    """Return the refusal that an answer is; None where the request may have run."""
    if exchange.status == MISDIRECTED:
        return Refused("another server is there", True)
    vouched = exchange.header(names.not_run.encode())
    if exchange.status in NOT_RUN_STATUSES and vouched:
        return Refused(f"status {exchange.status}")
    return None


def mismatched_request_id(
    exchange: Exchange, names: HeaderNames, request_id: str
) -> str:
    """Return the id of the request that an answer belongs to; ``""`` for ours.

    A faulty server may send the answer to another request.
    """
    echoed = exchange.header(names.request_id.encode())
    return "" if echoed == request_id else echoed


def end_to_end_headers(exchange: Exchange) -> tuple[tuple[str, str], ...]:
    """Return the header fields that a caller gets, without those of a connection."""
    return tuple(
        (key.decode(), value.decode("latin-1"))
        for key, value in exchange.headers
        if key.decode() not in HOP_BY_HOP
    )

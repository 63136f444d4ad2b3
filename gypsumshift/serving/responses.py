"""Interpretation of the status and header fields of backend server responses."""

from gypsumshift.httpclient import Exchange, FetchError
from gypsumshift.outcomes import Answered
from gypsumshift.serving.calls import AttemptOutcome, Failed, Refused
from gypsumshift.serving.headers import HOP_BY_HOP, HeaderNames

__all__ = [
    "check_origin",
    "end_to_end_headers",
    "mismatched_request_id",
    "parse_refusal",
    "read_outcome",
]

# HTTP status of a server other than the one expected at the address.
MISDIRECTED = 421
# Statuses with which a server may state that it has not run a request.
NOT_RUN_STATUSES = (429, 503, 400)


def parse_refusal(exchange: Exchange, names: HeaderNames) -> Refused | None:
    """Return the refusal that a response states; None if the request may have run."""
    if exchange.status == MISDIRECTED:
        return Refused("another server answers at the address", True)
    vouched = exchange.header(names.not_run.encode())
    if exchange.status in NOT_RUN_STATUSES and vouched:
        return Refused(f"backend server refused with status {exchange.status}")
    return None


def mismatched_request_id(
    exchange: Exchange, names: HeaderNames, request_id: str
) -> str:
    """Return the request id of a response to another request; ``""`` if it matches.

    A faulty server may send the response to another request.
    """
    echoed = exchange.header(names.request_id.encode())
    return "" if echoed == request_id else echoed


def check_origin(exchange: Exchange, names: HeaderNames, request_id: str) -> None:
    """Raise `FetchError` unless a response is a server's own, and to the request."""
    other_id = mismatched_request_id(exchange, names, request_id)
    if other_id:
        reason = f"answer belongs to request {other_id}, not to {request_id}"
        raise FetchError(reason, True)
    signed = exchange.header(names.signature.encode())
    if not signed and exchange.status < 300:
        raise FetchError("answer has no signature", True)


def read_outcome(exchange: Exchange, names: HeaderNames, body: bytes) -> AttemptOutcome:
    """Return the outcome of an attempt, given its complete answer."""
    refused = parse_refusal(exchange, names)
    if refused is not None:
        return refused
    if exchange.header(b"content-encoding"):
        return Failed("answer has a content encoding", True)
    return Answered(exchange.status, end_to_end_headers(exchange), body)


def end_to_end_headers(exchange: Exchange) -> tuple[tuple[str, str], ...]:
    """Return the header fields for the caller, without the hop-by-hop ones."""
    return tuple(
        (key.decode(), value.decode("latin-1"))
        for key, value in exchange.headers
        if key.decode() not in HOP_BY_HOP
    )

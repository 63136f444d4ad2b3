"""HTTP messages: requests and responses of the server, and what their heads tell."""

import json
import urllib.parse
from collections.abc import AsyncIterator, Callable

import attrs
import h11

from gypsumshift.bytebudget import NO_BUDGET, Holding
from gypsumshift.wholenumbers import parse_whole_number

__all__ = [
    "Request",
    "Response",
    "ResponseAborted",
    "declared_length",
    "head_size",
    "json_response",
    "may_have_body",
    "parse_head",
    "problem_response",
]


# Colon and line end of a header field.
FIELD_SEPARATOR_BYTES = 3


class ResponseAborted(Exception):
    """Raised by the iterator of a streamed body that cannot be completed."""


@attrs.define
class Request:
    """One request with its complete body.

    Attributes
    ----------
    method : str
    path : str
        Path of the target, still percent-encoded.
    query : str
        Query of the target, without the question mark.
    headers : list of (str, str)
        Names in lower case.
    body : bytes
    holding : Holding
        Bytes that the request holds in the memory budget until its response is sent.
    """

    method: str
    path: str
    query: str = ""
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b""
    holding: Holding = attrs.field(factory=NO_BUDGET.hold, eq=False, repr=False)

    @property
    def target(self) -> str:
        """Path and query as received."""
        return f"{self.path}?{self.query}" if self.query else self.path

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header field, by its lower-case name."""
        return next((value for key, value in self.headers if key == name), default)

    def parameter(self, name: str, default: str = "") -> str:
        """Return the first value of a parameter of the query."""
        return urllib.parse.parse_qs(self.query).get(name, [default])[0]


@attrs.define
class Response:
    """One response.

    Attributes
    ----------
    status : int
    headers : list of (str, str)
    body : bytes or async iterator of bytes
        The chunks of an iterator are sent as they arrive. If it raises
        `ResponseAborted`, the connection is closed without the final chunk, so that
        the caller does not mistake a partial body for a complete one.
    trailers : callable
        Called after a streamed body; returns the trailer fields to send.
    """

    status: int
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes | AsyncIterator[bytes] = b""
    trailers: Callable[[], list[tuple[str, str]]] = list


def json_response(status: int, value: object) -> Response:
    """Return a response with a value as JSON."""
    body = json.dumps(value).encode() + b"\n"
    return Response(status, [("content-type", "application/json")], body)


def problem_response(status: int, outcome: str, detail: str, **members) -> Response:
    """Return a problem document (RFC 9457).

    Parameters
    ----------
    status : int
        HTTP status code.
    outcome : {'not run', 'unknown', 'answered'}
        Result of the request.
    detail : str
        One sentence for people.
    **members
        Further members of the document; ``retry_after`` (seconds) also becomes
        the header field.
    """
    value = {"type": "about:blank", "status": status, "outcome": outcome}
    value |= {"detail": detail, **members}
    headers = [("content-type", "application/problem+json")]
    if "retry_after" in members:
        headers.append(("retry-after", str(max(1, round(members["retry_after"])))))
    return Response(status, headers, json.dumps(value).encode() + b"\n")


def parse_head(head: h11.Request, holding: Holding) -> Request:
    """Return a request, still without its body."""
    target = head.target.decode("ascii", "replace")
    path, _, query = target.partition("?")
    headers = [(k.decode(), v.decode("latin-1")) for k, v in head.headers]
    return Request(head.method.decode(), path, query, headers, holding=holding)


def head_size(head: h11.Request) -> int:
    """Return the bytes of a request's head without optional white space."""
    fields = sum(len(name) + len(value) for name, value in head.headers)
    separators = FIELD_SEPARATOR_BYTES * len(head.headers)
    return len(head.method) + len(head.target) + fields + separators


def declared_length(request: Request) -> int:
    """Return the length of the body that a request declares; 0 if it is unknown."""
    return parse_whole_number(request.header("content-length")) or 0


def may_have_body(request: Request) -> bool:
    """Return whether a body may follow the head of a request."""
    return bool(declared_length(request) or request.header("transfer-encoding"))

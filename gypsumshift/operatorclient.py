"""Client of the operator API for the command line, and its exit statuses."""

import asyncio
import json
import sys
import urllib.parse

import attrs
import typer

from gypsumshift.httpclient import FetchedResponse, Fetcher, FetchError

__all__ = [
    "DEFAULT_OPERATOR",
    "EXIT_CONFLICT",
    "EXIT_INVALID",
    "EXIT_LAGGING",
    "EXIT_UNAVAILABLE",
    "EXIT_UNKNOWN",
    "OperatorClient",
    "fail",
    "fail_with_problem",
]

EXIT_UNAVAILABLE = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_LAGGING = 5
DEFAULT_OPERATOR = "http://127.0.0.1:8200"
REQUEST_TIMEOUT_S = 30.0


@attrs.define
class OperatorClient:
    """Client of an entry's operator API.

    Attributes
    ----------
    url : str
    token : str
        Bearer token; empty if none is sent.
    """

    url: str = DEFAULT_OPERATOR
    token: str = ""

    def send_request(
        self, method: str, target: str, value=None, body: bytes = b""
    ) -> FetchedResponse:
        """Send a request; end the command if it gets no response."""
        parts = urllib.parse.urlsplit(self.url)
        address = (parts.hostname, parts.port or 80)
        headers = [("content-type", "application/json")]
        if self.token:
            headers.append(("authorization", f"Bearer {self.token}"))
        if value is not None:
            body = json.dumps(value).encode()
        fetch = Fetcher().fetch(
            address, method, target, headers, body, REQUEST_TIMEOUT_S
        )
        try:
            return asyncio.run(fetch)
        except FetchError as error:
            hint = "name an entry's operator address with --operator"
            fail(
                f"{method} {target} got no response from {self.url}: {error}; {hint}",
                EXIT_UNAVAILABLE,
            )

    def get_json(self, target: str):
        """Return the JSON value at a target; end the command on any error status."""
        answer = self.send_request("GET", target)
        if answer.status != 200:
            fail_with_problem(answer)
        return json.loads(answer.body)


def fail(message: str, status: int):
    """Print a message to standard error, and end the command with an exit status."""
    print(f"gypsumshift: {message}", file=sys.stderr)
    raise typer.Exit(status)


def fail_with_problem(answer: FetchedResponse):
    """Print the problem document of a failed request, and end the command.

    The exit status follows from the HTTP status.
    """
    try:
        value = json.loads(answer.body)
    except ValueError:
        value = {"detail": f"status {answer.status}"}
    for line in value.get("problems", []):
        print(f"gypsumshift: {line}", file=sys.stderr)
    for line in value.get("difference", []):
        print(f"gypsumshift: the other change: {line}", file=sys.stderr)
    statuses = {409: EXIT_CONFLICT, 422: EXIT_INVALID, 504: EXIT_UNKNOWN}
    status = statuses.get(answer.status, EXIT_UNAVAILABLE)
    fail(
        value.get("detail", f"the request was refused with status {answer.status}"),
        status,
    )

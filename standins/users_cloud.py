"""Stand-in for the platform's cloud API, which receives usage reports.

``python -m standins.users_cloud --ip 127.0.0.1 --port 9300``. ``GET /seen`` lists the
reports received, in which `find_violations` finds what one lease holder at a time would
never send. ``PUT /faults`` with a JSON object of the fields of `Faults` injects faults.
"""

import asyncio
import json
import time

import attrs
import typer

from gypsumshift.httpserver import (
    HttpServer,
    Request,
    Response,
    ResponseAborted,
    json_response,
)

__all__ = ["Call", "Faults", "FakeCloudApi", "find_violations"]

# Seconds between the last call of a host and its next one after another host's call: a
# lease must not return to its former holder sooner.
MIN_RETURN_S = 3.0


@attrs.define
class Faults:
    """Faults to inject.

    Attributes
    ----------
    status : int
        HTTP status with which all calls are rejected; 0 for none.
    slow : float
        Seconds from recording a report to the response.
    lose : bool
        Whether reports are recorded and the connection is closed instead of a response.
    """

    status: int = 0
    slow: float = 0.0
    lose: bool = False


@attrs.frozen
class Call:
    """One usage report received.

    Attributes
    ----------
    at : float
        Unix time in seconds.
    host : str
        Lease holder that sent it.
    fence, window : int
        Fencing token of the lease, and number of the window.
    counts : dict
        Requests by workspace.
    """

    at: float
    host: str
    fence: int
    window: int
    counts: dict[str, int]


async def cut_connection():
    """Abort the response: the connection is closed before any of it is sent."""
    raise ResponseAborted("response dropped by an injected fault")
    yield b""


class FakeCloudApi:
    """The cloud API as an HTTP server.

    Attributes
    ----------
    faults : Faults
    calls : list of Call
        Reports received, in order.
    server : HttpServer
    """

    def __init__(self):
        self.faults = Faults()
        self.calls: list[Call] = []
        self.server = HttpServer(self.serve)

    async def serve(self, request: Request) -> Response:
        """Serve one request."""
        if request.path == "/faults":
            self.faults = Faults(**json.loads(request.body))
            return Response(200)
        if request.path == "/seen":
            return json_response(200, [attrs.asdict(call) for call in self.calls])
        if request.path != "/usage":
            return Response(404)
        if self.faults.status:
            return Response(self.faults.status)
        value = json.loads(request.body)
        host = request.header("duty-holder")
        fence = int(request.header("fence-token"))
        call = Call(time.time(), host, fence, value["window"], value["counts"])
        self.calls.append(call)
        await asyncio.sleep(self.faults.slow)
        return (
            Response(200, [], cut_connection()) if self.faults.lose else Response(200)
        )


def find_violations(calls: list[Call]) -> list[str]:
    """Return what one lease holder at a time would never have sent, one text each.

    These are differing reports of one window, two hosts with one fencing token, a
    token lower than the one before, and a host that calls again too soon after another.
    """
    violations = []
    counts: dict[int, dict] = {}
    hosts: dict[int, str] = {}
    turns: list[Call] = []
    for previous, call in zip([None, *calls], calls, strict=False):
        if counts.setdefault(call.window, call.counts) != call.counts:
            violations.append(f"different reports of window {call.window}")
        if hosts.setdefault(call.fence, call.host) != call.host:
            violations.append(f"two hosts with token {call.fence}")
        if previous and call.fence < previous.fence:
            violations.append(
                f"token {call.fence} of {call.host} after token {previous.fence}"
            )
        if turns and turns[-1].host == call.host:
            turns[-1] = call
        else:
            turns.append(call)
        if len(turns) > 2 and turns[-3].host == call.host:
            elapsed = call.at - turns[-3].at
            if elapsed < MIN_RETURN_S:
                violations.append(f"{call.host} calls again after {elapsed:.1f} s")
    return violations


async def run(ip: str, port: int) -> None:
    """Run the stand-in until cancelled."""
    cloud = FakeCloudApi()
    await cloud.server.listen(ip, port)
    await asyncio.Event().wait()


def main(ip: str = "127.0.0.1", port: int = 9300) -> None:
    """Run a stand-in for the platform's cloud API."""
    asyncio.run(run(ip, port))


if __name__ == "__main__":
    typer.run(main)

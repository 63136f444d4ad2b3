"""Stand-in for the users' platform where it takes calls of duties.

``python -m standins.users_cloud --ip 127.0.0.1 --port 9300``. It takes reports of
usage, and notes what it must never get. ``GET /seen`` lists all; faults are switched
on at ``PUT /faults`` with a JSON object of the fields of `Faults`.
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

# Seconds within which A, B, A may not act in this order.
MIN_RETURN_S = 3.0


@attrs.define
class Faults:
    """Switches.

    Attributes
    ----------
    status : int
        With which all calls are refused; 0 for none.
    slow : float
        Seconds before each answer, behind which the call counts.
    lose : bool
        Whether calls count and are not answered.
    """

    status: int = 0
    slow: float = 0.0
    lose: bool = False


@attrs.frozen
class Call:
    """One report as it came.

    Attributes
    ----------
    at : float
        Unix time in seconds.
    host : str
    fence, window : int
    counts : dict
    """

    at: float
    host: str
    fence: int
    window: int
    counts: dict[str, int]


async def cut_connection():
    """Yield nothing: the connection is cut instead of an answer."""
    raise ResponseAborted("the answer is lost")
    yield b""


class FakeCloudApi:
    """The platform's interface behind one HTTP server.

    Attributes
    ----------
    calls : list of Call
        Those that were taken, in their order.
    """

    def __init__(self):
        self.faults = Faults()
        self.calls: list[Call] = []
        self.server = HttpServer(self.serve)

    async def serve(self, request: Request) -> Response:
        """Answer one request."""
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
    """Return what one holder at a time would never have sent."""
    wrong = []
    counts: dict[int, dict] = {}
    hosts: dict[int, str] = {}
    turns: list[Call] = []
    for before, call in zip([None, *calls], calls, strict=False):
        if counts.setdefault(call.window, call.counts) != call.counts:
            wrong.append(f"two reports of window {call.window}")
        if hosts.setdefault(call.fence, call.host) != call.host:
            wrong.append(f"two hosts with the number {call.fence}")
        if before and call.fence < before.fence:
            wrong.append(f"{call.fence} of {call.host} behind {before.fence}")
        if turns and turns[-1].host == call.host:
            turns[-1] = call
        else:
            turns.append(call)
        if len(turns) > 2 and turns[-3].host == call.host:
            passed = call.at - turns[-3].at
            if passed < MIN_RETURN_S:
                wrong.append(f"{call.host} acts again after {passed:.1f} s")
    return wrong


async def run(ip: str, port: int) -> None:
    """Serve until cancelled."""
    cloud = FakeCloudApi()
    await cloud.server.listen(ip, port)
    await asyncio.Event().wait()


def main(ip: str = "127.0.0.1", port: int = 9300) -> None:
    """Run a stand-in for the users' platform."""
    asyncio.run(run(ip, port))


if __name__ == "__main__":
    typer.run(main)

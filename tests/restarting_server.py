"""Stand-in backend server that takes over from its predecessor within milliseconds.

The process loads everything first, and listens once it reads a line from its standard
input. It writes each request that arrives to its standard output. When its process is
killed, the kernel closes its connections, as it does for any server.
"""

import asyncio
import json
import sys
import time

from gypsumshift.httpserver import HttpServer, Request, Response

# Time of a run, in seconds.
WORK_S = 0.02
EVENTS, EVENT_S = 40, 0.1


class RestartingServer:
    """One start of a server whose id stays the same.

    Parameters
    ----------
    name : str
        Id of the server at each start.
    start : int
    tells_cold_ms : int
        Remaining cold time in its answers; -1 for answers without it.
    """

    def __init__(self, name, start, tells_cold_ms):
        self.name = name
        self.start = start
        self.tells_cold_ms = tells_cold_ms
        self.server = HttpServer(self.serve)

    async def serve(self, request: Request) -> Response:
        expected = request.header("expect-instance")
        if expected != self.name:
            return Response(421)
        request_id = request.header("request-id")
        line = {"start": self.start, "at": time.monotonic(), "request": request_id}
        print(json.dumps(line), flush=True)
        fields = [("request-id", request_id), ("server-stamp", f"s.{request_id}")]
        if self.tells_cold_ms >= 0:
            fields.append(("cold-ms", str(self.tells_cold_ms)))
        if request.path.startswith("/flow/"):
            fields.append(("content-type", "text/event-stream"))
            return Response(200, fields, self.events())
        await asyncio.sleep(WORK_S)
        return Response(200, fields, b"done")

    async def events(self):
        for number in range(1, EVENTS + 1):
            yield f"id: {number}\ndata: {number}\n\n".encode()
            await asyncio.sleep(EVENT_S)


async def run(name, start, port, tells_cold_ms):
    await asyncio.to_thread(sys.stdin.readline)
    await RestartingServer(name, start, tells_cold_ms).server.listen("127.0.0.1", port)
    print(json.dumps({"start": start, "listens": time.monotonic()}), flush=True)
    await asyncio.sleep(3600)


if __name__ == "__main__":
    name, *numbers = sys.argv[1:]
    asyncio.run(run(name, *map(int, numbers)))

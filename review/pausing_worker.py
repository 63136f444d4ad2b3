"""Stand-in for a model engine that preempts its newest stream when it is told to.

``PUT /preempt`` with seconds: the newest running stream makes no event for that time
and then goes on, as one does that is read in again after memory ran out (PROTOCOL.md,
Requests). Everything else is the project's own stand-in.
"""

import asyncio

import typer

from gypsumshift.httpserver import Request, Response
from standins.users_worker import FakeWorker, run

__all__ = ["PausingWorker"]


class PausingWorker(FakeWorker):
    """Model engine whose newest stream can be preempted.

    Attributes
    ----------
    running_items : list of str
        Requests whose streams run, oldest first.
    resumes_at : dict
        Time of the event loop until which a stream makes no event, by request.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.running_items: list[str] = []
        self.resumes_at: dict[str, float] = {}

    async def serve(self, request: Request) -> Response:
        """Serve one request."""
        if request.path == "/preempt":
            newest = self.running_items[-1] if self.running_items else ""
            now = asyncio.get_running_loop().time()
            self.resumes_at[newest] = now + float(request.body)
            return Response(200, [], newest.encode())
        return await super().serve(request)

    async def stream_events(self, run: dict, item: str, after: int, model: str):
        """Yield the events, with a pause while the stream is preempted."""
        self.running_items.append(item)
        began = asyncio.get_running_loop().time()
        try:
            async for event in super().stream_events(run, item, after, model):
                pause = self.resumes_at.get(item, 0) - asyncio.get_running_loop().time()
                if pause > 0:
                    await asyncio.sleep(pause)
                yield event
        finally:
            self.running_items.remove(item)
            took = asyncio.get_running_loop().time() - began
            self.log_line({"left": item, "after_s": round(took, 3), "end": run["end"]})


def main(
    ip: str = "127.0.0.1",
    port: int = 9200,
    service: str = "pool",
    store: str = "127.0.0.1:9100",
    models: str = "m",
    slots: int = 4,
    events: int = 30,
    work_ms: float = 120,
    runs: str = "",
    name: str = "",
) -> None:
    """Run the stand-in."""
    worker = PausingWorker(service, (models,), slots, events, work_ms / 1000)
    worker.id = name or worker.id
    if runs:
        worker.run_log = open(runs, "a")
    asyncio.run(run(worker, ip, port, store))


if __name__ == "__main__":
    typer.run(main)

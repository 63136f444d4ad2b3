"""Minimal HTTP forwarder over h11, the baseline for the cost of the whole path.

``python -m bench.forwarder PORT BACKEND_PORT`` runs it until it is terminated.
"""

import asyncio
import contextlib
import sys

from gypsumshift.backendrequest import end_to_end_headers
from gypsumshift.httpclient import Fetcher
from gypsumshift.httpserver import HttpServer, Request, Response

HOST = "127.0.0.1"


async def main(port: int, backend: int) -> None:
    """Forward requests until cancelled."""
    fetcher = Fetcher()

    async def forward(request: Request) -> Response:
        headers = end_to_end_headers(
            (k.encode(), v.encode()) for k, v in request.headers
        )
        exchange = await fetcher.open(
            (HOST, backend), request.method, request.path, headers, request.body
        )
        with contextlib.closing(exchange):
            body = await exchange.read()
            fields = end_to_end_headers(exchange.headers)
            return Response(
                exchange.status, [(k.decode(), v.decode()) for k, v in fields], body
            )

    await HttpServer(forward).listen(HOST, port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))

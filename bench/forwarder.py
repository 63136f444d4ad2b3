"""A bare HTTP forwarder over h11, the limit that the whole path is held against.

``python -m bench.forwarder PORT BACKEND_PORT``.
"""

import asyncio
import contextlib
import sys

from gypsumshift.exchange import passed_on
from gypsumshift.fetch import Fetcher
from gypsumshift.server import Request, Response, Server

HOST = "127.0.0.1"


async def main(port: int, backend: int) -> None:
    """Forward requests until cancelled."""
    fetcher = Fetcher()

    async def forward(request: Request) -> Response:
        headers = passed_on((k.encode(), v.encode()) for k, v in request.headers)
        exchange = await fetcher.open(
            (HOST, backend), request.method, request.path, headers, request.body
        )
        with contextlib.closing(exchange):
            body = await exchange.read()
            fields = passed_on(exchange.headers)
            return Response(
                exchange.status, [(k.decode(), v.decode()) for k, v in fields], body
            )

    await Server(forward).listen(HOST, port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))

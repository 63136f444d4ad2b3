"""Builders for tests of the memory budget: budgets, raw requests and raw answers."""

import asyncio
import contextlib
import random

from gypsumshift.bytebudget import ByteBudget
from gypsumshift.clock import SystemClock

HOST = "127.0.0.1"


def new_budget(limit, metrics=None):
    return ByteBudget(limit, SystemClock(), random.Random(1), metrics)


def post(path, body):
    head = f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {len(body)}\r\n"
    return head.encode() + b"connection: close\r\n\r\n" + body


async def exchange_raw(address, data):
    """Send bytes, all of them before reading; return what the server answers."""
    reader, writer = await asyncio.open_connection(*address)
    with contextlib.suppress(ConnectionError):
        writer.write(data)
        await writer.drain()
    try:
        return await reader.read(-1)
    finally:
        writer.transport.abort()


def status_of(answer):
    return int(answer.split(b" ", 2)[1])


def retry_after(answer):
    return float(answer.lower().partition(b"retry-after: ")[2].partition(b"\r")[0])

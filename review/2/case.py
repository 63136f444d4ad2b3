"""Case: a stream whose worker goes dark never ends, long past its route's time."""

import asyncio
import json
import pathlib
import sys
import time

from review.common import Deployment, Record, Reply, call, main
from review.link import Link

HOST = "ficu95.example"
MODEL = "daka510000"
SERVICE = "lm-pool"
WORKERS = 6
STREAMS, SLOTS = 90, 16
TIMEOUT_S, OBJECTIVE_S = 6.0, 2.5
# A stream has 4 events, this far apart.
EVENT_MS = 700
# Time from the first request until a worker goes dark, and until it is back.
DARK_AFTER_S, DARK_FOR_S = 1.2, 4.5
# The platform removes an entry after three intervals of silence.
ENTRY_LIFETIME_S = 3.6
# The rule asks half a second after the route's time. Clients stay for a gap of four
# times the objective.
GRACE_S = 0.5
WATCH_S = TIMEOUT_S + 3.0
MIN_COUNT, MIN_SHARE = 8, 0.25


def config() -> dict:
    """Return a configuration with a stream route."""
    engine = {"slots": SLOTS, "kv_capacity": 38528, "models": [{"name": MODEL}]}
    route = {
        "name": "chat",
        "host": HOST,
        "prefix": "/lohu930/",
        "kind": "stream",
        "service": SERVICE,
        "attempts": 2,
        "slo_ms": OBJECTIVE_S * 1000,
        "timeout_ms": TIMEOUT_S * 1000,
        "priority": 1,
    }
    return {
        "version": 100,
        "routes": [route],
        "services": [{"name": SERVICE, "engine": engine}],
        "limits": {"max_body_bytes": 33554432},
    }


async def start_workers(deployment: Deployment) -> list[Link]:
    """Start the workers; clients reach each through its network link only."""
    links = []
    for number in range(WORKERS):
        link = Link()
        await link.listen("127.0.0.1")
        ip, port = link.address
        options = ("--models", MODEL, "--slots", str(SLOTS))
        options += ("--work-ms", str(EVENT_MS), "--listed-as", f"{ip}:{port}")
        worker = ("review/listed_worker.py",)
        link.target = await deployment.start_worker(
            f"{SERVICE}-{number}", SERVICE, *options, module=worker
        )
        links.append(link)
    return links


async def lose_power(deployment: Deployment, record: Record, link: Link) -> None:
    """Let a worker go dark: nothing comes from its host, connections stay silent."""
    name = f"{SERVICE}-0"
    reply = await call(link.target, "GET", "/runs", timeout=1.0)
    old = json.loads(reply.body)["id"]
    link.lose_power()
    await deployment.kill(name)
    record.line(f"worker {name} ({old}) goes dark")
    await asyncio.sleep(ENTRY_LIFETIME_S)
    await deployment.remove_row("servers", old)
    await asyncio.sleep(DARK_FOR_S - ENTRY_LIFETIME_S)
    await deployment.start(name)
    link.restore()
    record.line(f"worker {name} starts again")


async def case(deployment: Deployment, record: Record, trouble: bool) -> bool:
    """Let one worker of six go dark while it sends streams."""
    await deployment.start_store(config())
    links = await start_workers(deployment)
    gateway = await deployment.start_gateway("front-plateau-1")
    await asyncio.sleep(2.0)
    replies = [Reply() for _ in range(STREAMS)]
    tasks = []
    for number, reply in enumerate(replies):
        headers = {
            "Host": HOST,
            "Request-Id": f"9c41d07be2a3{number:04x}",
            "Deadline-Ms": str(int(TIMEOUT_S * 1000)),
            "Model": MODEL,
            "Token-Count": "540,400",
        }
        target, body = f"/lohu930/{number}", str(number).encode()
        work = call(gateway, "POST", target, headers, body, WATCH_S, reply)
        tasks.append(asyncio.create_task(work))
        await asyncio.sleep(0.005)
    record.line(f"{STREAMS} streams requested")
    dark = None
    if trouble:
        await asyncio.sleep(DARK_AFTER_S - STREAMS * 0.005)
        dark = asyncio.create_task(lose_power(deployment, record, links[0]))
    lasting = await asyncio.gather(*(watch_stream(reply) for reply in replies))
    await asyncio.gather(*tasks)
    if dark is not None:
        await dark
    return judge(record, replies, lasting)


async def watch_stream(reply: Reply) -> tuple[bool, bool]:
    """Return whether a stream lasts past its route's time, and past the grace."""
    await asyncio.sleep(reply.sent_at + TIMEOUT_S - time.monotonic())
    lasts = not reply.ended
    await asyncio.sleep(reply.sent_at + TIMEOUT_S + GRACE_S - time.monotonic())
    return lasts, not reply.ended


def judge(record: Record, replies: list[Reply], lasting) -> bool:
    """Return whether too many streams had no final answer half a second late."""
    states: dict[str, int] = {}
    for reply in replies:
        state = reply.describe()
        states[state] = states.get(state, 0) + 1
    for state, count in states.items():
        record.line(f"{count} streams: {state}")
    for number, reply in enumerate(replies):
        if lasting[number][1]:
            data_s = reply.last_data_at - reply.sent_at
            end_s = reply.ended_at - reply.sent_at
            record.line(
                f"stream {number}: last data after {data_s:.2f} s, no end until the "
                f"client left after {end_s:.2f} s"
            )
    longer = sum(lasts for lasts, _ in lasting)
    without = sum(open_late for _, open_late in lasting)
    record.line(
        f"{longer} streams lasted longer than {TIMEOUT_S:g} s; {without} of them had "
        f"no final answer {GRACE_S:g} s later"
    )
    return without >= MIN_COUNT and without > MIN_SHARE * longer


if __name__ == "__main__":
    sys.exit(main(case, pathlib.Path(__file__).resolve().parent))

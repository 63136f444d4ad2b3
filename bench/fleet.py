"""CPU time of real agents and gateways in a deployment on loopback addresses.

``python -m bench.fleet`` starts the stand-ins and the real programs, sends them jobs
and requests, and prints the CPU time of each kind of process. With ``--spy agent-0``
the stacks of one process are sampled by py-spy, which has to be installed; ``--code``
runs the programs of another checkout.
"""

import asyncio
import itertools
import os
import pathlib
import signal
import statistics
import sys
import tempfile
import time
from typing import Annotated

import attrs
import typer

from gypsumshift.httpclient import Fetcher, FetchError
from soak.deployment import claim_block
from standins.users_documents import (
    HOST,
    config,
    job_body,
    results_target,
    settings_text,
)
from standins.users_worker import FakeWorker, put_row

ROOT = pathlib.Path(__file__).resolve().parent.parent
STORE_PORT, WORKER_PORT, FRONT_PORT, NEIGHBOUR_PORT = 8300, 8200, 8100, 8400
# Time between two writes of a worker's entry, as on the platform.
ENTRY_PERIOD_S = 0.6
# An item has 25 events of 80 ms, so that an engine of four slots runs two a second.
EVENTS, EVENT_TIME_S, SLOTS = 25, 0.08, 4
ITEMS_PER_SECOND = SLOTS / (EVENTS * EVENT_TIME_S)
# Groups and items in each group of a job.
GROUPS, GROUP_SIZE = 16, 4
APP_SERVERS = 20
WARM_UP_S = 8.0

app = typer.Typer(add_completion=False)


@attrs.frozen
class Load:
    """What the deployment has to do.

    Attributes
    ----------
    agents, gateways : int
    jobs : bool
        Whether the engines are kept busy.
    calls_per_s : float
        Requests of callers to all gateways.
    """

    agents: int
    gateways: int
    jobs: bool
    calls_per_s: float


async def run_worker(worker: FakeWorker, ip: str, fetcher, store) -> None:
    """Serve requests, and keep the worker's entry in the store."""
    await worker.server.listen(ip, WORKER_PORT)
    while True:
        entry = worker.table_entry(f"{ip}:{WORKER_PORT}")
        await put_row(fetcher, store, ("servers", worker.id, entry))
        await asyncio.sleep(ENTRY_PERIOD_S)


async def run_workers(block: int, service: str, count: int, paced: bool) -> None:
    """Run all workers of a service in this process."""
    fetcher, store = Fetcher(), (f"127.{block}.0.1", STORE_PORT)
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            engine = service == "pool"
            worker = FakeWorker(
                service,
                ("m",) if engine else (),
                SLOTS if engine else 6,
                EVENTS,
                EVENT_TIME_S if engine else 0.02,
            )
            worker.id, worker.reports_pace = f"i-{service}-{number}", paced
            if engine and number % 3 == 2:
                worker.slowdown = 1.6
            ip = f"127.{block}.{1 if engine else 2}.{number + 1}"
            group.create_task(run_worker(worker, ip, fetcher, store))


class Fleet:
    """All processes of one run.

    Parameters
    ----------
    folder : pathlib.Path
        For settings and logs.
    load : Load
    code : pathlib.Path
        Checkout whose programs run.
    paced : bool
        Whether servers report their slowdown.
    """

    def __init__(self, folder, load: Load, code: pathlib.Path, paced: bool):
        self.folder, self.load, self.code, self.paced = folder, load, code, paced
        self.block, self.claim = claim_block(os.getpid())
        self.fetcher = Fetcher()
        self.children: dict[str, asyncio.subprocess.Process] = {}
        self.numbers = itertools.count()
        self.answers: dict[int, int] = {}
        self.items_read = 0
        self.jobs_answered: dict[int, int] = {}

    @property
    def store(self) -> tuple[str, int]:
        """Address of the store."""
        return f"127.{self.block}.0.1", STORE_PORT

    def front(self, number: int) -> tuple[str, int]:
        """Return the address of a gateway for callers."""
        return f"127.{self.block}.3.{number + 1}", FRONT_PORT

    async def spawn(self, name: str, *arguments: str, **environment: str) -> None:
        """Start a process whose output goes to a file."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.children[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=os.environ | environment,
            )

    async def start(self) -> None:
        """Start all processes; return once all gateways serve."""
        ip = self.store[0]
        await self.spawn(
            "store", "-m", "standins.users_store", "--ip", ip, "--port", str(STORE_PORT)
        )
        while not await put_row(
            self.fetcher, self.store, ("op", "config", config(slots=SLOTS))
        ):
            await asyncio.sleep(0.1)
        await put_row(self.fetcher, self.store, ("op", "version/m", {"version": 1}))
        for service, count in (("pool", self.load.agents), ("app", APP_SERVERS)):
            await self.spawn(
                service,
                "-m",
                "bench.fleet",
                "--workers",
                service,
                "--block",
                str(self.block),
                "--agents",
                str(count),
                "--paced" if self.paced else "--no-paced",
            )
        for number in range(self.load.gateways):
            front = f"{self.front(number)[0]}:{FRONT_PORT}"
            await self.start_node(
                f"gateway-{number}", 3, number, {"listen.front": front}
            )
        for number in range(self.load.agents):
            engine = f"127.{self.block}.1.{number + 1}:{WORKER_PORT}"
            await self.start_node(
                f"agent-{number}", 4, number, {"app": engine, "service": "pool"}
            )

        for number in range(self.load.gateways):
            while not await self.send(number, "POST", "/app/1"):
                await asyncio.sleep(0.2)
        self.answers.clear()

    async def start_node(self, name: str, net: int, number: int, fields: dict) -> None:
        """Start one of the system's programs."""
        ip = f"127.{self.block}.{net}.{number + 1}"
        fields["port_range"] = f"{NEIGHBOUR_PORT},{NEIGHBOUR_PORT}"
        settings = self.folder / f"{name}.conf"
        settings.write_text(settings_text(name, ip, self.store, **fields))
        await self.spawn(
            name,
            str(self.code / "platform" / "main.py"),
            GYPSUMSHIFT_NODE_FILE=str(settings),
            PYTHONPATH=str(self.code),
        )

    async def send(self, number: int, method: str, target: str, body=b"") -> bytes:
        """Send a request to a gateway; return the body of its answer."""
        fields = [("request-id", f"q{next(self.numbers)}"), ("deadline-ms", "2500")]
        fields.append(("wait-ms", "500"))
        try:
            exchange = await self.fetcher.open(
                self.front(number % self.load.gateways),
                method,
                target,
                fields,
                body,
                host=HOST,
            )
            content = await exchange.read()
        except FetchError:
            self.answers[0] = self.answers.get(0, 0) + 1
            return b""
        exchange.close()
        self.answers[exchange.status] = self.answers.get(exchange.status, 0) + 1
        return content

    async def call(self) -> None:
        """Send requests at the rate of the load."""
        async with asyncio.TaskGroup() as group:
            while True:
                number = next(self.numbers)
                group.create_task(self.send(number, "POST", "/app/1", b"x" * 200))
                await asyncio.sleep(1 / self.load.calls_per_s)

    async def train(self) -> None:
        """Submit jobs at the rate at which the engines complete them."""
        size = GROUPS * GROUP_SIZE
        usual = [1 / 1.6 if n % 3 == 2 else 1.0 for n in range(self.load.agents)]
        period = size / (ITEMS_PER_SECOND * sum(usual))
        async with asyncio.TaskGroup() as group:
            while True:
                job = f"job{next(self.numbers)}"
                group.create_task(self.run_job(job, next(self.numbers)))
                await asyncio.sleep(period * 1.02)

    async def run_job(self, job: str, number: int) -> None:
        """Submit a job, and read its results to the end."""
        fields = [("request-id", job)]
        body = job_body(job, GROUPS, GROUP_SIZE)
        address = self.front(number % self.load.gateways)
        exchange = await self.fetcher.open(
            address, "POST", "/batch/1", fields, body, host=HOST
        )
        await exchange.read()
        exchange.close()
        self.jobs_answered[exchange.status] = (
            self.jobs_answered.get(exchange.status, 0) + 1
        )
        count = 0
        while count < GROUPS * GROUP_SIZE:
            content = await self.send(number, "GET", results_target(job, count))
            found = content.count(b'"id"') if content else 0
            self.items_read += found
            count += found
            if not found:
                await asyncio.sleep(0.2)

    def cpu_seconds(self) -> dict[str, float]:
        """Return the CPU seconds of each process so far."""
        return {
            name: int(
                pathlib.Path(f"/proc/{child.pid}/schedstat").read_text().split()[0]
            )
            / 1e9
            for name, child in self.children.items()
        }

    def wake_ups(self) -> dict[str, int]:
        """Return the number of times that each process has been switched to."""
        return {name: voluntary_switches(c.pid) for name, c in self.children.items()}

    async def close(self) -> None:
        """Stop all processes that this run started."""
        for child in self.children.values():
            if child.returncode is None:
                child.send_signal(signal.SIGKILL)
        await asyncio.gather(*(child.wait() for child in self.children.values()))
        self.claim.close()


def voluntary_switches(pid: int) -> int:
    """Return how often a process has waited, which is how often it has been woken."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("voluntary_ctxt"):
            return int(line.split()[1])
    return 0


async def measure(fleet: Fleet, seconds: float, spy: list[str], out: pathlib.Path):
    """Run the load; print the CPU time by kind of process."""
    await fleet.start()
    tasks = []
    await asyncio.sleep(WARM_UP_S / 2)
    if fleet.load.jobs:
        tasks.append(asyncio.create_task(fleet.train()))
    if fleet.load.calls_per_s:
        tasks.append(asyncio.create_task(fleet.call()))
    await asyncio.sleep(WARM_UP_S)
    before, woken, began = fleet.cpu_seconds(), fleet.wake_ups(), time.monotonic()
    read = fleet.items_read
    spies = []
    for name in spy:
        spies.append(
            await asyncio.create_subprocess_exec(
                str(pathlib.Path(sys.executable).parent / "py-spy"),
                "record",
                "-p",
                str(fleet.children[name].pid),
                "-f",
                "raw",
                "-r",
                "125",
                "-d",
                str(int(seconds)),
                "-o",
                str(out / f"{name}.stacks"),
                stdout=asyncio.subprocess.DEVNULL,
            )
        )
    await asyncio.sleep(seconds)
    took = time.monotonic() - began
    after, woken_after = fleet.cpu_seconds(), fleet.wake_ups()
    for child in spies:
        await child.wait()
    print(
        f"{took:.1f} s, {(fleet.items_read - read) / took:.1f} items/s, "
        f"answers {fleet.answers}, jobs {fleet.jobs_answered}, "
        f"load average {os.getloadavg()[0]:.1f}"
    )
    for kind in ("agent", "gateway", "store", "pool", "app"):
        names = [n for n in before if n.split("-")[0] == kind and n not in spy]
        used = sorted((after[n] - before[n]) / took * 100 for n in names)
        wakes = [(woken_after[n] - woken[n]) / took for n in names]
        if used:
            print(
                f"{kind:8} n={len(used):3} cpu % of a core: mean "
                f"{statistics.mean(used):.2f} median {statistics.median(used):.2f} "
                f"max {used[-1]:.2f}; wake-ups/s {statistics.mean(wakes):.0f}",
                flush=True,
            )
    for task in tasks:
        task.cancel()


@app.command()
def main(
    agents: int = 25,
    gateways: int = 34,
    seconds: float = 30,
    calls: float = 60,
    jobs: bool = True,
    paced: bool = True,
    code: pathlib.Path = ROOT,
    spy: Annotated[list[str] | None, typer.Option()] = None,
    out: pathlib.Path = pathlib.Path("."),
    workers: str = "",
    block: int = 0,
) -> None:
    """Measure the CPU time of the programs in a deployment."""
    if workers:
        asyncio.run(run_workers(block, workers, agents, paced))
        return
    load, checkout = Load(agents, gateways, jobs, calls), code.resolve()

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(pathlib.Path(folder), load, checkout, paced)
            try:
                await measure(fleet, seconds, spy or [], out)
            finally:
                await fleet.close()

    asyncio.run(run())


if __name__ == "__main__":
    app()

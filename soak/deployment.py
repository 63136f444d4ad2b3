"""Run the real programs and the stand-ins as processes on loopback addresses."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys

import attrs

from gypsumshift.httpclient import Fetcher, FetchError
from soak.conditions import PLAIN, Conditions
from soak.proxy import Proxy
from standins.users_documents import MODEL, settings_text
from standins.users_worker import put_row

__all__ = ["Deployment", "Process"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Second numbers of the loopback addresses that runs choose from.
FIRST_BLOCK, BLOCK_COUNT = 20, 200
# A worker crashes when the body of a request contains this text, and is restarted after
# the delay below.
FATAL_TEXT = "fatal"
RESTART_DELAY_S = 0.3
# Usual time of an engine for an event.
EVENT_WORK_MS = 20.0
FRONT_PORT, READY_PORT, WORKER_PORT, STORE_PORT, NEIGHBOUR_PORT, CLOUD_PORT = (
    8100,
    8101,
    8200,
    8300,
    8400,
    8500,
)
# Time after which a removed key must not run any request.
REVOKED_WITHIN_S = 3.0
# Length of the windows for which usage is reported.
REPORT_WINDOW_S = 2.0


@attrs.define
class Process:
    """A program that the soak starts and restarts.

    Attributes
    ----------
    name, ip : str
    command : list of str
    environment : dict
    log : pathlib.Path
    proxy : Proxy or None
        Proxy through which it connects to the store; None for stand-ins.
    child : asyncio.subprocess.Process or None
    lock : asyncio.Lock
        Held while it is stopped and restarted.
    is_closed : bool
        Whether it must not be started again, by a fault that is still running.
    """

    name: str
    ip: str
    command: list[str]
    environment: dict[str, str]
    log: pathlib.Path
    proxy: Proxy | None = None
    child: asyncio.subprocess.Process | None = None
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    is_closed: bool = False

    async def start(self) -> None:
        """Start the program, unless the run has ended; its output goes to the log."""
        if self.is_closed:
            return
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *self.command,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=os.environ | self.environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the program is running."""
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    async def stop(self) -> None:
        """Kill the program, also if it is suspended, and wait until it has ended."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.child:
            await self.child.wait()


def claim_block(seed: int) -> tuple[int, socket.socket]:
    """Return the second number of loopback addresses that no other run uses.

    Two runs whose seeds map to the same number would share addresses, and the second
    would use the store of the first. The returned socket reserves the number until it
    is closed or this process ends.
    """
    for number in range(BLOCK_COUNT):
        block = FIRST_BLOCK + (seed + number) % BLOCK_COUNT
        claim = socket.socket(type=socket.SOCK_DGRAM)
        try:
            claim.bind((f"127.{block}.255.254", STORE_PORT))
            return block, claim
        except OSError:
            claim.close()
    raise RuntimeError(
        f"no loopback addresses are free: other runs use all {BLOCK_COUNT} blocks"
    )


def zone_of(name: str) -> str:
    """Return the zone of a process by the number in its name."""
    return f"zone-{name.rpartition('-')[2]}"


class Deployment:
    """All processes of one run.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and logs.
    seed : int
        Determines where the search for unused loopback addresses begins.
    nodes : int
        Number of gateways, of engines with an agent each, and of plain workers.
    conditions : Conditions
    has_zones : bool
        Whether the processes of each number are in a zone of their own, and the workers
        log each arrival.

    Attributes
    ----------
    environment : dict
        Further environment variables of the system's own programs.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        nodes: int,
        conditions: Conditions = PLAIN,
        has_zones: bool = False,
    ):
        self.conditions = conditions
        self.has_zones = has_zones
        self.folder = folder
        self.seed = seed
        self.nodes = nodes
        self.block, self.claim = claim_block(seed)
        self.fetcher = Fetcher()
        self.environment: dict[str, str] = {}
        self.ip_count = 0
        self.processes: list[Process] = []
        self.restart_tasks: list[asyncio.Task] = []

    def next_ip(self) -> str:
        """Return a loopback address that no other process uses."""
        self.ip_count += 1
        return f"127.{self.block}.{self.ip_count // 200}.{self.ip_count % 200 + 1}"

    def of_kind(self, kind: str) -> list[Process]:
        """Return the processes whose name starts with a kind, such as ``gateway``."""
        return [p for p in self.processes if p.name.startswith(kind)]

    @property
    def store_address(self) -> tuple[str, int]:
        """Address of the store, without a proxy."""
        return self.of_kind("store")[0].ip, STORE_PORT

    @property
    def cloud_address(self) -> tuple[str, int]:
        """Address of the cloud API, which receives usage reports."""
        return self.of_kind("cloud")[0].ip, CLOUD_PORT

    async def start(self, first: dict) -> None:
        """Start all processes with a first configuration; wait for the gateways."""
        await self.start_platform(first)
        for number in range(self.nodes):
            await self.add_app_server(number)
            engine = await self.add_engine(number)
            app = {"app": f"{engine.ip}:{WORKER_PORT}", "service": "pool"}
            await self.add_node(f"agent-{number}", app)
            front = {"listen.front": FRONT_PORT, "listen.ready": READY_PORT}
            await self.add_node(f"gateway-{number}", front)
        for gateway in self.of_kind("gateway"):
            await self.until_ready(gateway)

    async def start_platform(self, first: dict) -> None:
        """Start the store with a first configuration, and the cloud API."""
        store = self.add("store", "standins.users_store", "--port", str(STORE_PORT))
        await store.start()
        await self.until_answered(self.store_address, "GET", "/none", 404)
        cloud = self.add("cloud", "standins.users_cloud", "--port", str(CLOUD_PORT))
        await cloud.start()
        await self.write("op", "config", first)

    async def until_ready(self, gateway: Process) -> None:
        """Wait until the readiness check of a gateway succeeds."""
        address = (gateway.ip, READY_PORT)
        await self.until_answered(address, "GET", "/gypsumshift/ready", 200)

    async def keep_workers(self) -> None:
        """Restart workers that crashed, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            for process in self.of_kind("app") + self.of_kind("engine"):
                if process.child.returncode is not None and not process.lock.locked():
                    self.restart_tasks.append(
                        asyncio.create_task(self.restart_ended(process))
                    )
                    # Lets the task take the lock before the process is checked again.
                    await asyncio.sleep(0)

    async def restart_ended(self, process: Process) -> None:
        """Restart a worker that crashed, after a delay."""
        async with process.lock:
            await asyncio.sleep(RESTART_DELAY_S)
            if process.child.returncode is not None:
                await process.start()

    def add(self, name: str, module: str, *arguments: str) -> Process:
        """Add a stand-in without starting it."""
        ip = self.next_ip()
        command = [sys.executable, "-m", module, "--ip", ip, *arguments]
        process = Process(name, ip, command, {}, self.folder / f"{name}.log")
        self.processes.append(process)
        return process

    async def add_app_server(self, number: int) -> Process:
        """Add and start an application server."""
        fields = {
            "--slots": self.conditions.app_slots,
            "--work-ms": self.conditions.app_work_ms,
            "--queue-length": self.conditions.app_queue_length,
        }
        return await self.add_worker(f"app-{number}", "app", fields)

    async def add_engine(self, number: int) -> Process:
        """Add and start an engine."""
        factors = self.conditions.engine_factors
        factor = factors[number % len(factors)]
        fields = {"--models": MODEL, "--work-ms": EVENT_WORK_MS * factor}
        return await self.add_worker(f"engine-{number}", "pool", fields)

    async def add_worker(self, name: str, service: str, fields: dict) -> Process:
        """Add and start a fake worker with further command-line options."""
        store = "{}:{}".format(*self.store_address)
        runs = str(self.folder / f"{name}.runs")
        # Every other worker keeps its id across restarts.
        same_id = f"i-{name}" if name.endswith(("0", "2")) else ""
        arguments = ["--port", str(WORKER_PORT), "--service", service, "--store", store]
        arguments += ["--runs", runs, "--name", same_id, "--fatal", FATAL_TEXT]
        arguments += [str(part) for field in fields.items() for part in field]
        if self.conditions.shared_hosts:
            arguments.append("--shared-host")
        if self.has_zones:
            arguments += ["--zone", zone_of(name), "--logs-arrivals"]
        process = self.add(name, "standins.users_worker", *arguments)
        await process.start()
        return process

    async def add_node(self, name: str, fields: dict[str, object]) -> Process:
        """Add and start one of the system's own programs."""
        ip = self.next_ip()
        proxy = Proxy(self.store_address)
        await proxy.listen("127.0.0.1")
        for key, value in fields.items():
            if key.startswith("listen"):
                fields[key] = f"{ip}:{value}"
        fields["port_range"] = f"{NEIGHBOUR_PORT},{NEIGHBOUR_PORT}"
        fields["cloud_api.addr"] = "{}:{}".format(*self.cloud_address)
        fields["cloud_api.duties"] = "usage"
        fields["bounds.report_window_s"] = REPORT_WINDOW_S
        fields["bounds.strict_revoke"] = "true"
        fields["bounds.revoke_ms"] = REVOKED_WITHIN_S * 1000
        if self.has_zones:
            fields["zone"] = zone_of(name)
        settings = self.folder / f"{name}.conf"
        settings.write_text(settings_text(name, ip, proxy.address, **fields))
        environment = {"GYPSUMSHIFT_NODE_FILE": str(settings)} | self.environment
        command = [sys.executable, str(ROOT / "platform" / "main.py")]
        log = self.folder / f"{name}.log"
        process = Process(name, ip, command, environment, log, proxy)
        self.processes.append(process)
        await process.start()
        return process

    async def write(self, table: str, key: str, value: dict | bytes) -> None:
        """Write a row to the store, with retries until it is stored."""
        row = (table, key, value)
        while True:
            if await put_row(self.fetcher, self.store_address, row):
                return
            await asyncio.sleep(0.1)

    async def set_store(self, **faults) -> None:
        """Set the faults of the store; call without faults to end them all."""
        body = json.dumps(faults).encode()
        await self.fetcher.fetch(self.store_address, "PUT", "/faults", [], body)

    async def set_cloud(self, **faults) -> None:
        """Set the faults of the cloud API; call without faults to end them all."""
        body = json.dumps(faults).encode()
        await self.fetcher.fetch(self.cloud_address, "PUT", "/faults", [], body)

    async def set_slowdown(self, process: Process, slowdown: float) -> None:
        """Set the slowdown of a worker; one that is not running starts without any."""
        address, body = (process.ip, WORKER_PORT), str(slowdown).encode()
        with contextlib.suppress(FetchError):
            await self.fetcher.fetch(address, "PUT", "/slowdown", [], body, 1.0)

    async def until_answered(self, address, method, target, status) -> None:
        """Wait until an address answers a request with the given status."""
        while True:
            try:
                answer = await self.fetcher.fetch(address, method, target, [], b"", 1.0)
                if answer.status == status:
                    return
            except FetchError:
                # The process is not listening yet; the request is repeated.
                pass
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Stop all processes that this run started."""
        for process in self.processes:
            process.is_closed = True
        for task in self.restart_tasks:
            task.cancel()
        await asyncio.gather(*(process.stop() for process in self.processes))
        self.claim.close()

"""One program of the system on a loopback address, with a crowd of clients at a port.

The program, the crowd and the test have a process each, so that the memory and the
descriptors of the program are its own. The stand-ins run in the test's process.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import sys

import attrs

from gypsumshift.httpclient import Fetcher, FetchError
from standins.deployment import free_port
from standins.users_documents import HOST, config, settings_text
from standins.users_store import FakeMetadataStore
from standins.users_worker import FakeWorker

ROOT = pathlib.Path(__file__).resolve().parent.parent
STORE_IP = "127.0.0.1"
METRICS_PORT = 9464
# Limits of the operator, as the platform's pages name them, with a smaller body.
CLIENT_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
SAMPLE_PERIOD_S = 0.01
RETRY_PERIOD_S = 0.1
HELD_S = 30.0
KIB_PER_MB = 1024


def program_ip() -> str:
    """Return a loopback address of this run's own, since the metrics port is fixed."""
    number = os.getpid()
    return (
        f"127.{100 + number // 65_025 % 100}.{number // 255 % 255}.{1 + number % 254}"
    )


@attrs.define
class Program:
    """A running program of the system.

    Attributes
    ----------
    process : asyncio.subprocess.Process
    log : Path
    most_descriptors : int
        Largest number of open descriptors that was seen.
    """

    process: asyncio.subprocess.Process
    log: pathlib.Path
    most_descriptors: int = 0

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    def peak_memory_mb(self) -> float:
        """Return the largest resident memory that the process ever had."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.partition("VmHWM:")[2].split()[0]) / KIB_PER_MB

    async def sample_descriptors(self) -> None:
        """Keep the largest number of open descriptors until cancelled."""
        folder = f"/proc/{self.process.pid}/fd"
        while self.alive:
            with contextlib.suppress(OSError):
                count = len(os.listdir(folder))
                self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(SAMPLE_PERIOD_S)


class HoldingWorker(FakeWorker):
    """Backend server that runs requests to ``/app/held`` for as long as they may."""

    async def run_request(self, request):
        if request.path == "/app/held":
            await asyncio.sleep(HELD_S)
        return await super().run_request(request)


@attrs.define
class CrowdWorld:
    """Stand-ins, a gateway or an agent, and crowds of clients.

    Attributes
    ----------
    folder : Path
        For settings files and logs.
    settings : dict
        Added to the settings of the program.
    """

    folder: pathlib.Path
    settings: dict
    ip: str = attrs.field(factory=program_ip)
    store: FakeMetadataStore = attrs.field(factory=FakeMetadataStore)
    app: FakeWorker = attrs.field(factory=lambda: HoldingWorker("app", slots=1000))
    engine: FakeWorker = attrs.field(factory=lambda: FakeWorker("pool", ("m",)))
    fetcher: Fetcher = attrs.field(factory=Fetcher)
    ports: dict = attrs.field(factory=dict)
    processes: list = attrs.field(factory=list)
    sent: int = 0

    async def start_stand_ins(self) -> tuple[str, int]:
        """Start the store and the backend servers; return the store's address."""
        address = STORE_IP, await self.store.server.listen(STORE_IP, 0)
        value = config() | {"limits": CLIENT_LIMITS}
        await self.store.write_row("op", "config", value)
        for worker in (self.app, self.engine):
            port = await worker.server.listen(STORE_IP, 0)
            entry = worker.table_entry(f"{STORE_IP}:{port}")
            await self.store.write_row("servers", worker.id, entry)
        return address

    async def start_gateway(self) -> Program:
        """Start a gateway; return it once it is ready."""
        store = await self.start_stand_ins()
        self.ports = {name: free_port() for name in ("front", "ready", "control")}
        self.ports["metrics"] = METRICS_PORT
        fields = {
            f"listen.{name}": f"{self.ip}:{self.ports[name]}"
            for name in ("front", "ready", "control")
        }
        program = await self.start_program("gateway", store, fields)
        await self.until_answered("ready", "/gypsumshift/ready")
        return program

    async def start_agent(self) -> Program:
        """Start an agent; return it once it serves its metrics."""
        store = await self.start_stand_ins()
        self.ports = {"control": free_port(), "metrics": METRICS_PORT}
        engine_port = self.engine.server.listener.sockets[0].getsockname()[1]
        fields = {
            "app": f"{STORE_IP}:{engine_port}",
            "service": "pool",
            "port_range": f"{self.ports['control']},0",
        }
        program = await self.start_program("agent", store, fields)
        await self.until_answered("metrics", "/metrics")
        return program

    async def start_daemon(self, role: str) -> Program:
        """Start an entry or a sidecar, without a platform that others share."""
        self.ports = {name: free_port() for name in ("caller", "operator", "peer")}
        fields = {f"{name}_port": port for name, port in self.ports.items()}
        if role == "sidecar":
            backend_url = f"http://{STORE_IP}:{free_port()}"
            del fields["caller_port"]
            fields |= {"pool": "p", "backend": "b", "backend_url": backend_url}
        fields |= {"name": role, "role": role, "zone": "here", "host": self.ip}
        file = self.folder / f"{role}.jsonc"
        file.write_text(json.dumps(self.settings | fields | {"platform": "memory:"}))
        command = ["-m", "gypsumshift.daemon", "--settings", str(file)]
        program = await self.start_process(command, role)
        await self.until_answered("operator", "/metrics")
        return program

    async def start_program(self, name, store, fields) -> Program:
        """Start a program of the deploy file, with this world's settings."""
        file = self.folder / f"{name}.conf"
        file.write_text(settings_text(name, self.ip, store, **self.settings, **fields))
        command = [str(ROOT / "platform" / "main.py"), name]
        environment = os.environ | {"GYPSUMSHIFT_NODE_FILE": str(file)}
        return await self.start_process(command, name, environment)

    async def start_process(self, arguments, name, environment=None) -> Program:
        """Start a Python process whose output goes to a log file."""
        log = self.folder / f"{name}.log"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=log.open("w"),
            stderr=asyncio.subprocess.STDOUT,
            cwd=ROOT,
            env=environment,
        )
        self.processes.append(process)
        return Program(process, log)

    async def start_crowd(self, kind: str, port: str, count: int):
        """Start a crowd at a port; return its process once all of it has arrived."""
        crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.crowd_clients",
            kind,
            self.ip,
            str(self.ports[port]),
            str(count),
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        self.processes.append(crowd)
        assert await crowd.stdout.readline() == b"arrived\n"
        return crowd

    async def request(self, port: str, target: str, body: bytes = b"") -> int | None:
        """Send one request on a new connection; return its status, None if it fails."""
        self.sent += 1
        method = "POST" if body else "GET"
        headers = [("request-id", f"ordinary-{self.sent}")]
        address = self.ip, self.ports[port]
        with contextlib.suppress(FetchError, TimeoutError):
            async with asyncio.timeout(5):
                exchange = await self.fetcher.open(
                    address, method, target, headers, body, fresh=True, host=HOST
                )
                try:
                    await exchange.read()
                finally:
                    exchange.connection.close()
                return exchange.status
        return None

    async def until_answered(self, port: str, target: str, body: bytes = b"") -> None:
        """Repeat a request, as ordinary callers do, until it is answered with 200."""
        while await self.request(port, target, body) != 200:
            await asyncio.sleep(RETRY_PERIOD_S)

    async def end(self, process) -> None:
        """End a process that this world has started."""
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def stop(self) -> None:
        """End all processes and stop the stand-ins."""
        for process in self.processes:
            await self.end(process)
        for server in (self.store.server, self.app.server, self.engine.server):
            if server.listener is not None:
                await server.stop(0)

    def events(self, program: Program) -> list[dict]:
        """Return the log lines of a program."""
        lines = program.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

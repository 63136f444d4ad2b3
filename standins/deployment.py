"""A whole deployment on loopback: stand-ins, sidecars and entries as processes.

``python -m standins.deployment examples/teranga-signes`` leaves it running in
the foreground until Ctrl-C. This is scaffolding: the system's own processes
start no process.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Annotated

import attrs
import typer

from gypsumshift import declarations
from gypsumshift.declarations import Catalog
from gypsumshift.httpclient import FetchedResponse, Fetcher, FetchError

HOST = "127.0.0.1"
DEFAULT_FOLDER = pathlib.Path("examples/teranga-signes")
FIRST_CALLER_PORT = 8100
FIRST_OPERATOR_PORT = 8200
PORT_RANGE = (10240, 32000)
PORT_CLAIMS: dict[int, socket.socket] = {}
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
POLL_PERIOD_S = 0.05


def free_port() -> int:
    """Return a TCP port that is free now, and claimed for this process.

    It lies below those that the kernel gives to outgoing connections, one of which
    could take it before its process listens. A UDP socket on the same number, which
    nobody else here uses, keeps other deployments from choosing it.
    """
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        claim = socket.socket(type=socket.SOCK_DGRAM)
        try:
            claim.bind((HOST, port))
            with socket.socket() as probe:
                probe.bind((HOST, port))
        except OSError:
            claim.close()
            continue
        PORT_CLAIMS[port] = claim
        return port


@attrs.define
class ManagedProcess:
    """One process of the deployment.

    Attributes
    ----------
    name : str
    command : list of str
    ports : dict of str to int
    process : subprocess.Popen or None
    """

    name: str
    command: list[str]
    ports: dict[str, int] = attrs.field(factory=dict)
    process: subprocess.Popen | None = None


class Deployment:
    """Processes of one declared deployment; a context manager that ends them all.

    Parameters
    ----------
    catalog : Catalog
        Its pools say which backend servers there are.
    entries : int
    fixed_ports : bool
        Whether entries listen on well-known ports, for people.
    speed : dict
        Options of the stand-ins: ``step``, ``swap`` and ``duration`` in seconds,
        ``places``, ``weight_rate`` and ``host_lag``.
    daemon : list of str
        Module, with arguments, that runs in place of the daemon.
    """

    def __init__(
        self,
        catalog: Catalog,
        entries: int = 2,
        fixed_ports: bool = False,
        speed: dict[str, float] | None = None,
        daemon: list[str] | None = None,
    ):
        self.daemon = daemon or ["gypsumshift.daemon"]
        self.catalog = catalog
        self.entry_count = entries
        self.fixed_ports = fixed_ports
        self.speed = speed or {}
        self.stack = contextlib.ExitStack()
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.running: dict[str, ManagedProcess] = {}
        self.fetcher = Fetcher()
        self.platform_port = free_port()

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            self.close()
            raise
        return self

    async def __aexit__(self, *exc_info):
        self.close()

    # Starting and ending

    async def start(self) -> None:
        """Start everything and wait until it serves."""
        options = self.options("weight_rate", "host_lag")
        self.launch(
            "platform", ["standins.platform", str(self.platform_port), *options]
        )
        await self.until_answers("platform", self.platform_port, "/counts")
        for number in range(self.entry_count):
            self.add_entry(number)
        for pool in self.catalog.pools.values():
            for number in range(pool.size):
                self.add_backend(pool, number)
        for running in self.entries():
            await self.until_answers(running.name, running.ports["caller"], "/health")

    def options(self, *names: str) -> list[str]:
        """Return command-line options for the speeds that are set."""
        found = []
        for name in names:
            if name in self.speed:
                found += [f"--{name.replace('_', '-')}", str(self.speed[name])]
        return found

    def entries(self) -> list[ManagedProcess]:
        """Return the entries."""
        return [r for r in self.running.values() if "caller" in r.ports]

    def sidecars(self) -> list[ManagedProcess]:
        """Return the sidecars."""
        return [r for r in self.running.values() if r.name.startswith("sidecar-")]

    def add_entry(self, number: int) -> ManagedProcess:
        """Start one entry."""
        ports = {kind: free_port() for kind in ("peer", "caller", "operator")}
        if self.fixed_ports:
            ports["caller"] = FIRST_CALLER_PORT + number
            ports["operator"] = FIRST_OPERATOR_PORT + number
        zones = self.catalog.zones
        settings = {
            "name": f"entry-{number}",
            "role": "entry",
            "zone": zones[number % len(zones)],
            "caller_port": ports["caller"],
        }
        return self.add_process(settings, ports)

    def add_backend(self, pool, number: int) -> None:
        """Start one stand-in for a backend server, and the sidecar beside it."""
        name, port = f"{pool.name}-{number}", free_port()
        if pool.kind == "model":
            command = ["standins.engine", str(port), pool.name]
            command += ["--dialect", pool.dialect]
            command += ["--platform", f"{HOST}:{self.platform_port}"]
            command += ["--checks-fencing"] if pool.checks_fencing else []
            command += self.options("step", "swap", "batch", "cache_blocks")
            command += self.options("length_median", "length_sigma")
        else:
            command = ["standins.service", str(port), "--name", name]
            command += ["--journal", str(self.folder / f"{name}.journal")]
            command += self.options("duration", "places", "spread")
        running = self.launch(name, command)
        running.ports["backend"] = port
        zones = pool.zones or list(self.catalog.zones)
        settings = {
            "name": f"sidecar-{name}",
            "role": "sidecar",
            "zone": zones[number % len(zones)],
            "pool": pool.name,
            "backend": name,
            "backend_url": f"http://{HOST}:{port}",
        }
        ports = {kind: free_port() for kind in ("peer", "operator")}
        self.add_process(settings, ports)

    def add_process(self, settings: dict, ports: dict[str, int]) -> ManagedProcess:
        """Write the settings of one process of the system, and start it."""
        seeds = [f"{HOST}:{r.ports['peer']}" for r in self.entries()]
        settings |= {
            "platform": f"http://{HOST}:{self.platform_port}",
            "peer_port": ports["peer"],
            "operator_port": ports["operator"],
            "seeds": seeds,
        }
        path = self.folder / f"{settings['name']}.jsonc"
        path.write_text(json.dumps(settings, indent=2))
        command = [*self.daemon, "--settings", str(path)]
        running = self.launch(settings["name"], command)
        running.ports = ports
        return running

    def launch(self, name: str, command: list[str]) -> ManagedProcess:
        """Start one process; its output goes to a file."""
        running = self.running.setdefault(name, ManagedProcess(name, command))
        with open(self.folder / f"{name}.log", "ab") as output:
            running.process = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=output,
                stderr=subprocess.STDOUT,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        return running

    def close(self) -> None:
        """End all processes and remove their files."""
        alive = [r.process for r in self.running.values() if r.process]
        for process in alive:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in alive:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.fetcher.close_idle()
        self.stack.close()

    # Faults

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        process = self.running[name].process
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process without notice."""
        self.signal(name, signal.SIGKILL)
        self.running[name].process.wait()

    def restart(self, name: str) -> None:
        """Start one process again, empty."""
        self.launch(name, self.running[name].command)

    async def set_faults(self, name: str, **faults) -> None:
        """Switch faults of a stand-in; without any, they end."""
        if name == "platform":
            port, target = self.platform_port, "/faults"
        else:
            port, target = self.running[name].ports["backend"], "/standin"
        body = json.dumps(faults).encode()
        await self.fetcher.fetch((HOST, port), "PUT", target, [], body)

    # Asking

    async def until_answers(self, name: str, port: int, target: str) -> None:
        """Wait until a process answers 200."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.running[name].process.poll() is not None:
                break
            with contextlib.suppress(FetchError):
                answer = await self.fetcher.fetch((HOST, port), "GET", target)
                if answer.status == 200:
                    return
            await asyncio.sleep(POLL_PERIOD_S)
        log = (self.folder / f"{name}.log").read_text()
        raise RuntimeError(f"{name} does not serve: {log[-2000:]}")

    async def operator(
        self, method: str, target: str, value: object = None, entry: int = 0
    ) -> FetchedResponse:
        """Send a request to an entry's operator API."""
        body = json.dumps(value).encode() if value is not None else b""
        port = self.entries()[entry].ports["operator"]
        return await self.fetcher.fetch((HOST, port), method, target, [], body)

    async def status(self, entry: int = 0) -> list[dict]:
        """Return what one entry shows of all processes."""
        answer = await self.operator("GET", "/v1/status", entry=entry)
        return json.loads(answer.body)

    async def until_status(self, holds, timeout: float = READY_TIMEOUT_S) -> list[dict]:
        """Wait until the status of all processes meets a condition."""
        deadline = time.monotonic() + timeout
        while True:
            rows = await self.status()
            if holds(rows):
                return rows
            self.check_alive()
            if time.monotonic() > deadline:
                raise RuntimeError(f"not in time; the status is {rows}")
            await asyncio.sleep(POLL_PERIOD_S)

    def check_alive(self) -> None:
        """Raise an error with the log of a process that has ended by itself."""
        for name, running in self.running.items():
            if running.process.poll() not in (None, 0, -signal.SIGKILL):
                log = (self.folder / f"{name}.log").read_text()
                raise RuntimeError(f"{name} has ended: {log[-2000:]}")

    async def apply(self, catalog: Catalog, message: str, base: int) -> FetchedResponse:
        """Apply declarations."""
        value = {
            "base": base,
            "declarations": catalog.source,
            "author": "deployment",
            "message": message,
        }
        return await self.operator("POST", "/v1/apply", value)

    async def until_in_force(self, revision: int) -> list[dict]:
        """Wait until a revision is in force in every process, all healthy."""
        count = self.entry_count + sum(p.size for p in self.catalog.pools.values())

        def holds(rows: list[dict]) -> bool:
            here = [row for row in rows if row["revision"] == revision]
            sick = [r for r in here if r["figures"].get("healthy", 1) < 1]
            return len(here) == len(rows) == count and not sick

        return await self.until_status(holds)

    def caller_urls(self, path: str) -> list[str]:
        """Return the URLs of a path at all entries."""
        return [f"http://{HOST}:{r.ports['caller']}{path}" for r in self.entries()]


async def run_in_foreground(folder: pathlib.Path, entries: int) -> None:
    """Run a deployment until cancelled."""
    catalog = declarations.load(folder)
    async with Deployment(catalog, entries, fixed_ports=True) as deployment:
        await deployment.apply(catalog, "first", 0)
        rows = await deployment.until_in_force(1)
        for row in rows:
            print(f"{row['name']:32} {row['zone']:16} revision {row['revision']}")
        for running in deployment.entries():
            caller, operator = running.ports["caller"], running.ports["operator"]
            print(f"{running.name}: callers {HOST}:{caller}, operators {operator}")
        print("Running; Ctrl-C ends it.", flush=True)
        stopped = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, stopped.set)
        await stopped.wait()


def main(
    folder: Annotated[pathlib.Path, typer.Argument()] = DEFAULT_FOLDER,
    entries: Annotated[int, typer.Option(help="Number of entries.")] = 2,
) -> None:
    """Run a whole deployment on loopback in the foreground."""
    asyncio.run(run_in_foreground(folder, entries))


if __name__ == "__main__":
    typer.run(main)

"""Run a complete deployment on loopback: stand-ins, sidecars and entries.

``python -m standins.deployment examples/teranga-signes`` runs one in the
foreground until Ctrl-C. Each part is a process of its own. Only this test tool starts
processes; the processes of the system start none.
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
# Below the range that the kernel assigns to outgoing connections.
PORT_RANGE = (10240, 32000)
# UDP sockets that reserve the ports of this process, by port.
PORT_CLAIMS: dict[int, socket.socket] = {}
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
POLL_PERIOD_S = 0.05


def free_port() -> int:
    """Return a free TCP port that is reserved for this process.

    The port is below the range that the kernel assigns to outgoing connections, since
    one of those could occupy it before its process listens. A UDP socket bound to the
    same number keeps other deployments from choosing the port; nothing else here uses
    UDP.
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
    """One process of a deployment.

    Attributes
    ----------
    name : str
    command : list of str
        Module and arguments for ``python -m``.
    ports : dict of str to int
        Ports on which the process listens, by kind.
    process : subprocess.Popen or None
    """

    name: str
    command: list[str]
    ports: dict[str, int] = attrs.field(factory=dict)
    process: subprocess.Popen | None = None


class Deployment:
    """Processes of one declared deployment; a context manager that stops them at exit.

    Parameters
    ----------
    catalog : Catalog
        Its pools determine the backend servers to start.
    entries : int
    fixed_ports : bool
        Whether entries listen on fixed ports, for interactive use.
    speed : dict
        Options of the stand-ins: ``step``, ``swap``, ``duration`` and ``host_lag`` in
        seconds, ``weight_rate`` in bytes per second, ``places``, ``spread``, ``batch``,
        ``cache_blocks``, ``length_median`` and ``length_sigma``.
    daemon : list of str
        Module, with arguments, to run instead of the daemon.
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

    # Start and stop

    async def start(self) -> None:
        """Start all processes and wait until they answer."""
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
        """Return command-line arguments for those of the named options that are set."""
        found = []
        for name in names:
            if name in self.speed:
                found += [f"--{name.replace('_', '-')}", str(self.speed[name])]
        return found

    def entries(self) -> list[ManagedProcess]:
        """Return all entry processes."""
        return [r for r in self.running.values() if "caller" in r.ports]

    def sidecars(self) -> list[ManagedProcess]:
        """Return all sidecar processes."""
        return [r for r in self.running.values() if r.name.startswith("sidecar-")]

    def add_entry(self, number: int) -> ManagedProcess:
        """Start an entry."""
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
        """Start a fake backend server and its sidecar."""
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
        """Write the settings file of an entry or sidecar and start it."""
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
        """Start a process; its output is appended to a log file."""
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
        """Terminate all processes and remove their files.

        Processes that do not stop in time are killed.
        """
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
        """Send a signal to a process, if it is running."""
        process = self.running[name].process
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has ended."""
        self.signal(name, signal.SIGKILL)
        self.running[name].process.wait()

    def restart(self, name: str) -> None:
        """Start a process again, without the state of its last run."""
        self.launch(name, self.running[name].command)

    async def set_faults(self, name: str, **faults) -> None:
        """Set the faults of a stand-in; call without faults to end them all."""
        if name == "platform":
            port, target = self.platform_port, "/faults"
        else:
            port, target = self.running[name].ports["backend"], "/standin"
        body = json.dumps(faults).encode()
        await self.fetcher.fetch((HOST, port), "PUT", target, [], body)

    # Requests

    async def until_answers(self, name: str, port: int, target: str) -> None:
        """Wait until a process answers a GET request with 200."""
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
        raise RuntimeError(
            f"{name} did not answer GET {target} at port {port} with 200 within "
            f"{READY_TIMEOUT_S} s, or has ended; end of its log: {log[-2000:]}"
        )

    async def operator(
        self, method: str, target: str, value: object = None, entry: int = 0
    ) -> FetchedResponse:
        """Send a request to the operator API of an entry."""
        body = json.dumps(value).encode() if value is not None else b""
        port = self.entries()[entry].ports["operator"]
        return await self.fetcher.fetch((HOST, port), method, target, [], body)

    async def status(self, entry: int = 0) -> list[dict]:
        """Return the status of all processes, as one entry reports it."""
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
                raise RuntimeError(
                    f"status condition not met within {timeout} s; last status: {rows}"
                )
            await asyncio.sleep(POLL_PERIOD_S)

    def check_alive(self) -> None:
        """Raise an error with the log of a process that ended unexpectedly.

        Exit code 0 and SIGKILL are expected.
        """
        for name, running in self.running.items():
            if running.process.poll() not in (None, 0, -signal.SIGKILL):
                log = (self.folder / f"{name}.log").read_text()
                raise RuntimeError(
                    f"{name} has ended with exit code {running.process.returncode}; "
                    f"end of its log: {log[-2000:]}"
                )

    async def apply(self, catalog: Catalog, message: str, base: int) -> FetchedResponse:
        """Apply declarations on top of the revision ``base``."""
        value = {
            "base": base,
            "declarations": catalog.source,
            "author": "deployment",
            "message": message,
        }
        return await self.operator("POST", "/v1/apply", value)

    async def until_in_force(self, revision: int) -> list[dict]:
        """Wait until a revision is active in every process and all are healthy."""
        count = self.entry_count + sum(p.size for p in self.catalog.pools.values())

        def holds(rows: list[dict]) -> bool:
            updated = [row for row in rows if row["revision"] == revision]
            unhealthy = [r for r in updated if r["figures"].get("healthy", 1) < 1]
            return len(updated) == len(rows) == count and not unhealthy

        return await self.until_status(holds)

    def caller_urls(self, path: str) -> list[str]:
        """Return the URL of a path at each entry."""
        return [f"http://{HOST}:{r.ports['caller']}{path}" for r in self.entries()]


async def run_in_foreground(folder: pathlib.Path, entries: int) -> None:
    """Run a deployment until SIGINT or SIGTERM."""
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
    """Run a complete deployment on loopback in the foreground."""
    asyncio.run(run_in_foreground(folder, entries))


if __name__ == "__main__":
    typer.run(main)

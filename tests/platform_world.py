"""Builders for tests of the platform's adapter: the whole path over loopback."""

import asyncio
import base64
import json
import pathlib
import sys

import attrs

from gypsumshift.fetch import Fetcher
from standins.users_store import UsersStore
from standins.users_worker import UsersWorker

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "platform"
if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))

HOST = "here.example"


def config(version=1, routes=(), **limits):
    """Return a configuration as the operator writes it."""
    usual = [
        route("app", "/app/", kind="safe", service="app", attempts=2),
        route("once", "/once/", kind="unsafe", service="app", attempts=2),
        route("batch", "/batch/", kind="rollout", service="pool", attempts=3),
        route("flow", "/flow/", kind="stream", service="pool", attempts=2),
        route(
            "resumed",
            "/resumed/",
            kind="stream",
            service="pool",
            attempts=2,
            can_resume=True,
        ),
        route("score", "/score/", kind="safe", service="app", attempts=4),
    ]
    engine = {"slots": 4, "kv_capacity": 1000, "models": [{"name": "m"}]}
    services = [{"name": "app"}, {"name": "pool", "engine": engine}]
    return {
        "version": version,
        "routes": [*usual, *routes],
        "services": services,
        "limits": {"max_body_bytes": 1_000_000, **limits},
    }


def route(name, prefix, **fields):
    usual = {"host": HOST, "timeout_ms": 3000, "slo_ms": 400, "priority": 1}
    return {"name": name, "prefix": prefix, **usual, **fields}


def batch(job="job", groups=2, size=2, min_version=1):
    """Return the body of a batch job."""
    requests = [
        {
            "id": f"{job}-{group}-{number}",
            "path": "/batch/run",
            "headers": {"Model": "m", "Length-Hint": "10"},
            "body": base64.b64encode(f"{group}/{number}".encode()).decode(),
            "tokens": 100,
            "group": f"g{group}",
            "scorer": {
                "id": f"score-{job}-{group}-{number}",
                "host": HOST,
                "path": "/score/1",
                "body": base64.b64encode(b"text").decode(),
            },
        }
        for group in range(groups)
        for number in range(size)
    ]
    value = {
        "step": 1,
        "model": "m",
        "min_version": min_version,
        "target_groups": groups,
        "requests": requests,
    }
    return json.dumps(value).encode()


def settings_text(name, store, **fields):
    lines = {
        "node_name": name,
        "zone": "here",
        "ip": "127.0.0.1",
        "platform.addr": f"127.0.0.1:{store}",
        "bounds.grace_s": "8",
        "a.new": "field",
    }
    return "\n".join(f"{k}={v}" for k, v in (lines | fields).items())


@attrs.define
class PlatformWorld:
    """The users' platform with one gateway and one agent, in one process."""

    store: UsersStore = attrs.field(factory=UsersStore)
    app: UsersWorker = attrs.field(factory=lambda: UsersWorker("app"))
    engine: UsersWorker = attrs.field(factory=lambda: UsersWorker("pool", ("m",)))
    fetcher: Fetcher = attrs.field(factory=Fetcher)
    tasks: list = attrs.field(factory=list)
    store_port: int = 0
    front: tuple = ()
    ready: tuple = ()
    gateway: object = None
    agent: object = None

    async def start(self, tmp_path):
        """Start everything; returns once callers are served."""
        import main
        import node_settings

        self.store_port = await self.store.server.listen("127.0.0.1", 0)
        await self.store.put("op", "config", config())
        for worker in (self.app, self.engine):
            await self.register(worker)
        engine_port = self.engine.server.listener.sockets[0].getsockname()[1]
        file = tmp_path / "front.conf"
        file.write_text(
            settings_text(
                "front",
                self.store_port,
                **{"listen.front": "127.0.0.1:0", "listen.ready": "127.0.0.1:0"},
            )
        )
        self.gateway = main.new_gateway(node_settings.load(file))
        file = tmp_path / "side.conf"
        app = f"127.0.0.1:{engine_port}"
        text = settings_text("side", self.store_port, app=app, service="pool")
        file.write_text(text)
        self.agent = main.new_agent(node_settings.load(file))
        for node in (self.gateway, self.agent):
            self.tasks.append(asyncio.create_task(node.run()))
        while not self.gateway.ready or not self.gateway.directory.servers:
            await asyncio.sleep(0.01)
        ports = [
            s.listener.sockets[0].getsockname() for _, s, _ in self.gateway.servers
        ]
        self.front, self.ready = ports[:2]
        return self

    async def register(self, worker):
        if worker.server.listener is None:
            await worker.server.listen("127.0.0.1", 0)
        port = worker.server.listener.sockets[0].getsockname()[1]
        await self.store.put("servers", worker.id, worker.entry(f"127.0.0.1:{port}"))

    async def ask(self, method, target, request_id="r1", body=b"", **headers):
        """Send a request to the gateway, return its answer."""
        fields = [("request-id", request_id)]
        fields += [(k.replace("_", "-"), v) for k, v in headers.items()]
        exchange = await self.fetcher.open(
            self.front, method, target, fields, body, host=HOST
        )
        content = await exchange.read()
        exchange.close()
        return exchange, content

    async def results(self, job="job"):
        """Read all results of a job, page by page."""
        found, total = [], 1
        while len(found) < total:
            target = f"/gypsumshift/lots/{job}?after={len(found)}"
            exchange, content = await self.ask("GET", target, wait_ms="1000")
            assert exchange.status == 200, exchange.status
            page = json.loads(content)
            total = page["total"]
            found += page["results"]
            assert page["next"] == len(found)
        return found

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

"""Client of the platform's services over HTTP and JSON, as the stand-in serves them."""

import json
import urllib.parse

import attrs

from gypsumshift import platforms
from gypsumshift.httpclient import FetchedResponse, Fetcher, FetchError
from gypsumshift.outcomes import (
    Committed,
    Conflict,
    Missing,
    Unavailable,
    Unknown,
    WriteOutcome,
)
from gypsumshift.platforms import Host, Row

__all__ = [
    "RemoteHostList",
    "RemoteObjectStore",
    "RemoteTables",
    "RemoteWeightStore",
    "connect",
]

READ_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 3.0
JSON_HEADERS = [("content-type", "application/json")]


def quote_segment(name: str) -> str:
    """Quote a name as one segment of a URL path."""
    return urllib.parse.quote(name, safe="")


class PlatformClient:
    """Sends HTTP requests to one platform.

    Parameters
    ----------
    address : (str, int)
        IP address and port.
    """

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self.fetcher = Fetcher()

    async def read(self, target: str) -> bytes | Missing | Unavailable:
        """Send a GET request; failures are `Unavailable`, as a read has no effect."""
        try:
            answer = await self.fetcher.fetch(
                self.address, "GET", target, timeout=READ_TIMEOUT_S
            )
        except FetchError as error:
            return Unavailable(str(error))
        if answer.status == 404:
            return Missing()
        if answer.status != 200:
            return Unavailable(f"GET {target} returned status {answer.status}")
        return answer.body

    async def read_json(self, target: str) -> object:
        """Send a GET request and parse the body as JSON."""
        data = await self.read(target)
        return json.loads(data) if isinstance(data, bytes) else data

    async def write(self, method: str, target: str, body: bytes = b"") -> WriteOutcome:
        """Send a write request; `Unknown` if it was sent but not answered."""
        try:
            answer = await self.fetcher.fetch(
                self.address, method, target, JSON_HEADERS, body, WRITE_TIMEOUT_S
            )
        except FetchError as error:
            return Unknown(str(error)) if error.sent else Unavailable(str(error))
        return write_outcome(answer)


def write_outcome(answer: FetchedResponse) -> WriteOutcome:
    """Return the outcome of a write request by the status of its response."""
    if answer.status in (200, 201, 204):
        return Committed()
    if answer.status in (409, 412):
        return Conflict(answer.body.decode("utf-8", "replace"))
    if answer.status == 503:
        return Unavailable("the platform returned status 503 for a write")
    return Unknown(f"the platform returned status {answer.status} for a write")


class RemoteTables(platforms.Tables):
    """Table service over HTTP."""

    def __init__(self, client: PlatformClient):
        self.client = client

    async def read(self, table, key):
        """Read one row."""
        target = f"/tables/{quote_segment(table)}/{quote_segment(key)}"
        value = await self.client.read_json(target)
        return Row(**value) if isinstance(value, dict) else value

    async def scan(self, table, prefix):
        """Read the rows whose keys begin with ``prefix``, in order of their keys."""
        target = f"/tables/{quote_segment(table)}?prefix={quote_segment(prefix)}"
        value = await self.client.read_json(target)
        if isinstance(value, Missing):
            return []
        return [Row(**row) for row in value] if isinstance(value, list) else value

    async def commit(self, writes):
        """Apply all writes, or none if a condition does not hold."""
        body = json.dumps([attrs.asdict(write) for write in writes]).encode()
        return await self.client.write("POST", "/tables", body)


class RemoteObjectStore(platforms.ObjectStore):
    """Object store over HTTP."""

    def __init__(self, client: PlatformClient):
        self.client = client

    async def put(self, name, data):
        """Store an object once; `Conflict` if the name is in use."""
        return await self.client.write("PUT", f"/objects/{quote_segment(name)}", data)

    async def get(self, name):
        """Read the content of an object."""
        return await self.client.read(f"/objects/{quote_segment(name)}")

    async def delete(self, name):
        """Delete an object; succeeds if it is absent."""
        return await self.client.write("DELETE", f"/objects/{quote_segment(name)}")


class RemoteWeightStore(platforms.WeightStore):
    """Weight store over HTTP."""

    def __init__(self, client: PlatformClient):
        self.client = client

    async def publish(self, pool, version, data):
        """Store the weights of one version once."""
        return await self.client.write(
            "PUT", f"/weights/{quote_segment(pool)}/{version}", data
        )


class RemoteHostList(platforms.HostList):
    """Host list over HTTP."""

    def __init__(self, client: PlatformClient):
        self.client = client

    async def announce(self, host):
        """Add this process to the host list."""
        body = json.dumps(attrs.asdict(host)).encode()
        return await self.client.write(
            "PUT", f"/hosts/{quote_segment(host.name)}", body
        )

    async def list(self):
        """Read the host list, which may be outdated."""
        value = await self.client.read_json("/hosts")
        return [Host(**host) for host in value] if isinstance(value, list) else value


def connect(url: str) -> platforms.Platform:
    """Return the platform that is reached by an ``http:`` URL."""
    parts = urllib.parse.urlsplit(url)
    caller = PlatformClient((parts.hostname, parts.port or 80))
    return platforms.Platform(
        RemoteTables(caller),
        RemoteObjectStore(caller),
        RemoteWeightStore(caller),
        RemoteHostList(caller),
    )


platforms.register("http", connect)

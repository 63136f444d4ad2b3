"""Remote: the platform's services over HTTP and JSON, as the stand-in speaks them."""

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

__all__ = ["RemoteHosts", "RemoteObjects", "RemoteTables", "RemoteWeights", "connect"]

READ_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 3.0
JSON_HEADERS = [("content-type", "application/json")]


def quote_segment(name: str) -> str:
    """Return a name as one part of a path."""
    return urllib.parse.quote(name, safe="")


class PlatformClient:
    """Calls one platform over HTTP.

    Parameters
    ----------
    address : (str, int)
        IP number and port.
    """

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self.fetcher = Fetcher()

    async def read(self, target: str) -> bytes | Missing | Unavailable:
        """Read something; reading has no unknown end."""
        try:
            answer = await self.fetcher.fetch(
                self.address, "GET", target, timeout=READ_TIMEOUT_S
            )
        except FetchError as error:
            return Unavailable(str(error))
        if answer.status == 404:
            return Missing()
        if answer.status != 200:
            return Unavailable(f"status {answer.status}")
        return answer.body

    async def read_json(self, target: str) -> object:
        """Read something and parse it."""
        data = await self.read(target)
        return json.loads(data) if isinstance(data, bytes) else data

    async def write(self, method: str, target: str, body: bytes = b"") -> WriteOutcome:
        """Write something; an answer that is lost leaves the outcome unknown."""
        try:
            answer = await self.fetcher.fetch(
                self.address, method, target, JSON_HEADERS, body, WRITE_TIMEOUT_S
            )
        except FetchError as error:
            return Unknown(str(error)) if error.sent else Unavailable(str(error))
        return write_outcome(answer)


def write_outcome(answer: FetchedResponse) -> WriteOutcome:
    """Return the outcome that a status says."""
    if answer.status in (200, 201, 204):
        return Committed()
    if answer.status in (409, 412):
        return Conflict(answer.body.decode("utf-8", "replace"))
    if answer.status == 503:
        return Unavailable("the platform says that it is down")
    return Unknown(f"status {answer.status}")


class RemoteTables(platforms.Tables):
    """Table service over HTTP."""

    def __init__(self, client: PlatformClient):
        self.client = client

    async def read(self, table, key):
        """Return one row."""
        target = f"/tables/{quote_segment(table)}/{quote_segment(key)}"
        value = await self.client.read_json(target)
        return Row(**value) if isinstance(value, dict) else value

    async def scan(self, table, prefix):
        """Return the rows whose keys begin with ``prefix``, in the keys' order."""
        target = f"/tables/{quote_segment(table)}?prefix={quote_segment(prefix)}"
        value = await self.client.read_json(target)
        if isinstance(value, Missing):
            return []
        return [Row(**row) for row in value] if isinstance(value, list) else value

    async def commit(self, writes):
        """Apply all writes, or none where a condition does not hold."""
        body = json.dumps([attrs.asdict(write) for write in writes]).encode()
        return await self.client.write("POST", "/tables", body)


class RemoteObjects(platforms.ObjectStore):
    """Object store over HTTP."""

    def __init__(self, client: PlatformClient):
        self.client = client

    async def put(self, name, data):
        """Store an object once; a conflict says that the name is taken."""
        return await self.client.write("PUT", f"/objects/{quote_segment(name)}", data)

    async def get(self, name):
        """Return an object's bytes."""
        return await self.client.read(f"/objects/{quote_segment(name)}")

    async def delete(self, name):
        """Remove an object; removing what is not there succeeds."""
        return await self.client.write("DELETE", f"/objects/{quote_segment(name)}")


class RemoteWeights(platforms.WeightStore):
    """Weight store over HTTP."""

    def __init__(self, client: PlatformClient):
        self.client = client

    async def publish(self, pool, version, data):
        """Store the weights of one version once."""
        return await self.client.write(
            "PUT", f"/weights/{quote_segment(pool)}/{version}", data
        )


class RemoteHosts(platforms.HostList):
    """Host list over HTTP."""

    def __init__(self, client: PlatformClient):
        self.client = client

    async def announce(self, host):
        """Put this process on the list."""
        body = json.dumps(attrs.asdict(host)).encode()
        return await self.client.write(
            "PUT", f"/hosts/{quote_segment(host.name)}", body
        )

    async def list(self):
        """Return the list, which may be old."""
        value = await self.client.read_json("/hosts")
        return [Host(**host) for host in value] if isinstance(value, list) else value


def connect(url: str) -> platforms.Platform:
    """Return the platform behind an ``http:`` URL."""
    parts = urllib.parse.urlsplit(url)
    caller = PlatformClient((parts.hostname, parts.port or 80))
    return platforms.Platform(
        RemoteTables(caller),
        RemoteObjects(caller),
        RemoteWeights(caller),
        RemoteHosts(caller),
    )


platforms.register("http", connect)

"""A model engine whose connections end with it, and its agent.

Extends the model of `cold_world`, whose fetcher does not tell its connections.
"""

import asyncio

import attrs

from gypsumshift.httpclient import FetchedResponse, FetchError, RequestWithheld
from gypsumshift.serving.cold import Link
from tests.cold_world import ColdEngine, EngineFetcher, EngineWorld


@attrs.define(eq=False)
class EngineLink(Link):
    """Connection to one start of the engine."""

    engine: ColdEngine
    opened_at: float
    heard_at: float
    start: int

    def is_open(self):
        return self.engine.up and self.engine.starts == self.start


class LinkedFetcher(EngineFetcher):
    """Fetcher that opens a connection for each item, and keeps one for reports."""

    def __init__(self, engine, latency=0.002):
        super().__init__(engine, latency)
        self.links = []
        self.kept = None

    def open_connections(self, address):
        return [link for link in self.links if link.is_open()]

    async def new_link(self):
        await self.connect()
        now = asyncio.get_running_loop().time()
        self.links = self.open_connections(None)
        self.links.append(EngineLink(self.engine, now, now, self.engine.starts))
        return self.links[-1]

    async def open(self, address, method, target, headers, body=b"", **options):
        link = await self.new_link()
        if (on_connection := options.get("on_connection")) is not None:
            await on_connection(link)
        if not options["allowed"]():
            raise RequestWithheld
        sent_at = self.engine.now
        await asyncio.sleep(self.latency)
        if not link.is_open():
            raise FetchError("closed", True, closed=True)
        return await self.exchange(sent_at, headers)

    async def exchange(self, sent_at, headers):
        """Return the answer of the start that the connection leads to."""
        # The model opens a connection of its own; its start is the same by now.
        connect, self.connect = self.connect, self.connected
        latency, self.latency = self.latency, 0
        try:
            return await super().open(None, "POST", "", headers)
        finally:
            self.connect, self.latency = connect, latency

    async def connected(self):
        pass

    async def fetch(self, *arguments, **options):
        if self.kept is None or not self.kept.is_open():
            self.kept = await self.new_link()
        await asyncio.sleep(self.latency)
        if not self.kept.is_open():
            raise FetchError("closed", True, closed=True)
        self.kept.heard_at = self.engine.now
        body = b'{"born": %d}' % self.engine.starts
        return FetchedResponse(200, [], body)


class LinkedEngineWorld(EngineWorld):
    """Engine and agent whose fetcher tells its connections."""

    def start_agent(self):
        super().start_agent()
        local_engine = self.agent.local_engine
        fetcher = local_engine.client.fetcher = LinkedFetcher(self.engine)
        if local_engine.cold_rates is not None:
            local_engine.cold_rates.proofs.links = fetcher.open_connections


__all__ = ["LinkedEngineWorld"]

"""Keys: workspaces whose keys come and go, and what must never run with them."""

import asyncio
import itertools
import pathlib
import random
import time

import attrs

from soak.deployment import REVOKED_WITHIN, Deployment
from soak.runs import read_runs
from standins.users_documents import config

__all__ = ["Keys", "Sent", "check_keys"]

NAMES = ("red", "blue")
# Seconds between two configurations, each of which takes a key away and gives one.
GAPS = (0.3, 2.5)
# Seconds after which a new key is known wherever the store is heard.
KNOWN_WITHIN = 3.0


@attrs.define
class Key:
    """One key of a workspace.

    Attributes
    ----------
    text, workspace : str
    given_at, gone_at : float
        When the store had acknowledged that, in seconds since 1970; 0 for not yet.
    """

    text: str
    workspace: str
    given_at: float = 0.0
    gone_at: float = 0.0


@attrs.frozen
class Sent:
    """One request with a key.

    Attributes
    ----------
    key : Key
    at : float
        When its caller began to send it.
    """

    key: Key
    at: float


class Keys:
    """The operator who gives and takes keys, and the callers' choice of one.

    Parameters
    ----------
    deployment : Deployment
    seed : int

    Attributes
    ----------
    lasting : Key
        One that is never taken away.
    sent : dict
        `Sent` by request.
    """

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.chance = random.Random(f"{seed} keys")
        self.numbers = itertools.count()
        self.version = 1
        self.lasting = self.new_key(NAMES[0])
        self.current = [self.lasting, *map(self.new_key, NAMES)]
        self.gone: list[Key] = []
        self.sent: dict[str, Sent] = {}

    def new_key(self, workspace: str) -> Key:
        """Return a key that there was not before."""
        return Key(f"key-{workspace}-{next(self.numbers)}", workspace)

    def config(self) -> dict:
        """Return the configuration with the keys that are good now."""
        keys: dict[str, list[str]] = {name: [] for name in NAMES}
        for key in self.current:
            keys[key.workspace].append(key.text)
        return config(self.version, slots=6, workspaces=keys)

    async def write(self) -> None:
        """Put the keys in force; returns once the store has them."""
        await self.deployment.write("op", "config", self.config())
        for key in self.current:
            key.given_at = key.given_at or time.time()
        for key in self.gone:
            key.gone_at = key.gone_at or time.time()

    async def run(self) -> None:
        """Give and take keys until cancelled."""
        while True:
            await asyncio.sleep(self.chance.uniform(*GAPS))
            old = self.chance.choice(self.current[1:])
            self.current.remove(old)
            self.current.append(self.new_key(old.workspace))
            self.gone.append(old)
            self.version += 1
            await self.write()

    def choose(self, request: str) -> str:
        """Return the key for a request: a good one, or one that is none any more."""
        known = self.current + self.gone[-8:]
        sent = self.sent[request] = Sent(self.chance.choice(known), time.time())
        return sent.key.text

    def judge(self, request: str, status: int) -> str:
        """Return what is wrong with an answer; empty for nothing."""
        sent = self.sent.get(request)
        if sent is None or status != 401:
            return ""
        key = sent.key
        known = key.given_at and sent.at > key.given_at + KNOWN_WITHIN
        # One that is being taken away may be unknown.
        if not known or key not in self.current:
            return ""
        return f"{request}: its key is good and was called unknown"


def check_keys(folder: pathlib.Path, keys: Keys) -> list[str]:
    """Return the runs that no key allowed, or that were for another workspace."""
    wrong = []
    for run in read_runs(folder, "app") + read_runs(folder, "engine"):
        name = run.get("request", "")
        if run.get("told_key"):
            wrong.append(f"{name}: a worker was told a key")
        sent = keys.sent.get(name)
        if sent is None:
            continue
        if run["workspace"] != sent.key.workspace:
            wrong.append(f"{name}: ran for {run['workspace']!r}, not its own workspace")
        gone_at = sent.key.gone_at
        if gone_at and sent.at > gone_at + REVOKED_WITHIN:
            late = sent.at - gone_at
            wrong.append(f"{name}: ran {late:.1f} s after its key was taken away")
    return wrong

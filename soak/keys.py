"""Keys: workspaces whose keys come and go, and what must never run with them."""

import asyncio
import itertools
import pathlib
import random
import time

import attrs

from soak.deployment import REVOKED_WITHIN_S, Deployment
from soak.runs import read_runs
from standins.users_documents import config

__all__ = ["KeyRotator", "SentRequest", "check_keys"]

WORKSPACES = ("red", "blue")
# Seconds between two configurations, each of which takes a key away and gives one.
CHANGE_GAPS_S = (0.3, 2.5)
# Seconds after which a new key is known wherever the store is heard.
KNOWN_WITHIN_S = 3.0


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
    added_at: float = 0.0
    removed_at: float = 0.0


@attrs.frozen
class SentRequest:
    """One request with a key.

    Attributes
    ----------
    key : Key
    at : float
        When its caller began to send it.
    """

    key: Key
    at: float


class KeyRotator:
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
        self.rng = random.Random(f"{seed} keys")
        self.key_numbers = itertools.count()
        self.version = 1
        self.permanent = self.new_key(WORKSPACES[0])
        self.valid_keys = [self.permanent, *map(self.new_key, WORKSPACES)]
        self.removed_keys: list[Key] = []
        self.sent_requests: dict[str, SentRequest] = {}

    def new_key(self, workspace: str) -> Key:
        """Return a key that there was not before."""
        return Key(f"key-{workspace}-{next(self.key_numbers)}", workspace)

    def make_config(self) -> dict:
        """Return the configuration with the keys that are good now."""
        keys: dict[str, list[str]] = {name: [] for name in WORKSPACES}
        for key in self.valid_keys:
            keys[key.workspace].append(key.text)
        return config(self.version, slots=6, workspaces=keys)

    async def write_config(self) -> None:
        """Put the keys in force; returns once the store has them."""
        await self.deployment.write("op", "config", self.make_config())
        for key in self.valid_keys:
            key.added_at = key.added_at or time.time()
        for key in self.removed_keys:
            key.removed_at = key.removed_at or time.time()

    async def run_rotation(self) -> None:
        """Give and take keys until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(*CHANGE_GAPS_S))
            old = self.rng.choice(self.valid_keys[1:])
            self.valid_keys.remove(old)
            self.valid_keys.append(self.new_key(old.workspace))
            self.removed_keys.append(old)
            self.version += 1
            await self.write_config()

    def choose_key(self, request: str) -> str:
        """Return the key for a request: a good one, or one that is none any more."""
        known = self.valid_keys + self.removed_keys[-8:]
        sent = self.sent_requests[request] = SentRequest(
            self.rng.choice(known), time.time()
        )
        return sent.key.text

    def check_answer(self, request: str, status: int) -> str:
        """Return what is wrong with an answer; empty for nothing."""
        sent = self.sent_requests.get(request)
        if sent is None or status != 401:
            return ""
        key = sent.key
        known = key.added_at and sent.at > key.added_at + KNOWN_WITHIN_S
        # One that is being taken away may be unknown.
        if not known or key not in self.valid_keys:
            return ""
        return f"{request}: its key is good and was called unknown"


def check_keys(folder: pathlib.Path, keys: KeyRotator) -> list[str]:
    """Return the runs that no key allowed, or that were for another workspace."""
    wrong = []
    for run in read_runs(folder, "app") + read_runs(folder, "engine"):
        name = run.get("request", "")
        if run.get("told_key"):
            wrong.append(f"{name}: a worker was told a key")
        sent = keys.sent_requests.get(name)
        if sent is None:
            continue
        if run["workspace"] != sent.key.workspace:
            wrong.append(f"{name}: ran for {run['workspace']!r}, not its own workspace")
        gone_at = sent.key.removed_at
        if gone_at and sent.at > gone_at + REVOKED_WITHIN_S:
            late = sent.at - gone_at
            wrong.append(f"{name}: ran {late:.1f} s after its key was taken away")
    return wrong

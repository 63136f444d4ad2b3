"""Rotate workspace keys, and check that removed keys no longer run requests."""

import asyncio
import itertools
import pathlib
import random
import time

import attrs

from soak.deployment import REVOKED_WITHIN_S, Deployment
from soak.runs import read_runs
from standins.users_documents import config

__all__ = ["CROWD_WORKSPACES", "FLOODER", "KeyRotator", "SentRequest", "check_keys"]

WORKSPACES = ("red", "blue")
# Workspaces with priorities that only send requests in crowded runs. The priority of
# the flooder is between those of the others.
FLOODER = "flood"
CROWD_WORKSPACES = {"first": 0, FLOODER: 1, "equal": 1, "last": 2}
# Range of the time between two configurations, each of which replaces a key.
CHANGE_GAPS_S = (0.3, 2.5)
# Time after which a new key is known to all gateways that receive the store's changes.
KNOWN_WITHIN_S = 3.0


@attrs.define
class Key:
    """A key of a workspace.

    Attributes
    ----------
    text, workspace : str
    added_at, removed_at : float
        When the store acknowledged that the key was added or removed, as Unix time in
        seconds; 0 if it has not yet.
    """

    text: str
    workspace: str
    added_at: float = 0.0
    removed_at: float = 0.0


@attrs.frozen
class SentRequest:
    """A request that was sent with a key.

    Attributes
    ----------
    key : Key
    at : float
        When its caller began to send it, as Unix time in seconds.
    """

    key: Key
    at: float


class KeyRotator:
    """Adds and removes keys as an operator does, and chooses keys for requests.

    Parameters
    ----------
    deployment : Deployment
    seed : int

    Attributes
    ----------
    permanent : Key
        A key that is never removed.
    crowd_keys : dict
        Key of each crowd workspace, which is never removed.
    sent_requests : dict
        `SentRequest` by request id.
    """

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.rng = random.Random(f"{seed} keys")
        self.key_numbers = itertools.count()
        self.version = 1
        self.permanent = self.new_key(WORKSPACES[0])
        self.valid_keys = [self.permanent, *map(self.new_key, WORKSPACES)]
        crowd = CROWD_WORKSPACES if deployment.conditions.crowding else {}
        self.crowd_keys = {name: self.new_key(name) for name in crowd}
        self.removed_keys: list[Key] = []
        self.sent_requests: dict[str, SentRequest] = {}

    def new_key(self, workspace: str) -> Key:
        """Return a key that was never used before."""
        return Key(f"key-{workspace}-{next(self.key_numbers)}", workspace)

    def make_config(self) -> dict:
        """Return the configuration with the keys that are valid now."""
        keys: dict[str, list[str]] = {name: [] for name in WORKSPACES}
        for key in self.valid_keys:
            keys[key.workspace].append(key.text)
        keys |= {key.workspace: [key.text] for key in self.crowd_keys.values()}
        return config(
            self.version, slots=6, workspaces=keys, priorities=CROWD_WORKSPACES
        )

    async def write_config(self) -> None:
        """Write the configuration, and record when the store acknowledged it."""
        await self.deployment.write("op", "config", self.make_config())
        for key in [*self.valid_keys, *self.crowd_keys.values()]:
            key.added_at = key.added_at or time.time()
        for key in self.removed_keys:
            key.removed_at = key.removed_at or time.time()

    async def run_rotation(self) -> None:
        """Replace a random key again and again, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(*CHANGE_GAPS_S))
            old = self.rng.choice(self.valid_keys[1:])
            self.valid_keys.remove(old)
            self.valid_keys.append(self.new_key(old.workspace))
            self.removed_keys.append(old)
            self.version += 1
            await self.write_config()

    def choose_key(self, request: str) -> str:
        """Choose the key for a request: a valid one, or one removed recently."""
        candidates = self.valid_keys + self.removed_keys[-8:]
        sent = self.sent_requests[request] = SentRequest(
            self.rng.choice(candidates), time.time()
        )
        return sent.key.text

    def use_crowd_key(self, request: str, workspace: str) -> str:
        """Return the permanent key of a crowd workspace for a request."""
        key = self.crowd_keys[workspace]
        self.sent_requests[request] = SentRequest(key, time.time())
        return key.text

    def check_answer(self, request: str, status: int) -> str:
        """Return the violation in the answer to a request; empty if there is none."""
        sent = self.sent_requests.get(request)
        if sent is None or status != 401:
            return ""
        key = sent.key
        known = key.added_at and sent.at > key.added_at + KNOWN_WITHIN_S
        # A key that is being removed may be rejected already.
        if not known or key.removed_at or key in self.removed_keys:
            return ""
        return f"{request}: rejected with 401, although its key is valid"


def check_keys(folder: pathlib.Path, keys: KeyRotator) -> list[str]:
    """Return runs without a valid key, for another workspace, or that show a key."""
    violations = []
    for run in read_runs(folder, "app") + read_runs(folder, "engine"):
        name = run.get("request", "")
        if run.get("told_key"):
            violations.append(f"{name}: its key was sent on to a worker")
        sent = keys.sent_requests.get(name)
        if sent is None:
            continue
        if run["workspace"] != sent.key.workspace:
            violations.append(
                f"{name}: ran for workspace {run['workspace']!r}, its key is of "
                f"{sent.key.workspace!r}"
            )
        removed_at = sent.key.removed_at
        if removed_at and sent.at > removed_at + REVOKED_WITHIN_S:
            late = sent.at - removed_at
            violations.append(f"{name}: ran {late:.1f} s after its key was removed")
    return violations

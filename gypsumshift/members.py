"""Members: what this process knows of the others.

Knowledge here only serves to choose well. A stale view is harmless, since a
sidecar refuses what it must not run, whatever others believe of it.
"""

import hashlib

import attrs

from gypsumshift.clock import Clock
from gypsumshift.generated.messages import Load, Member, Role
from gypsumshift.platforms import Host

__all__ = ["Known", "View", "rank"]

FORGET_AFTER = 30.0
CALLED_LATELY = 15.0
NEVER = float("-inf")


def rank(key: str, name: str) -> int:
    """Return the rendezvous weight of ``name`` for ``key``; the highest wins."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.define
class Known:
    """One other process.

    Attributes
    ----------
    member : Member
        What it says of itself, at first or second hand.
    load : Load or None
        Its last report, where it is a sidecar.
    revision : int
        Revision that it last said to have in force.
    heard : float
        When it last answered or called, by the monotonic clock, in seconds.
    reported : float
        When ``load`` came, by the monotonic clock, in seconds.
    learnt : float
        When it first became known, by the monotonic clock, in seconds.
    called : float
        When it last called here, by the monotonic clock, in seconds.
    changed : float
        When it last left, or loaded weights, by the monotonic clock, in seconds.
    """

    member: Member
    learnt: float
    load: Load | None = None
    revision: int = -1
    heard: float = NEVER
    reported: float = NEVER
    called: float = NEVER
    changed: float = NEVER

    @property
    def address(self) -> tuple[str, int]:
        """IP number and peer port."""
        return self.member.host, self.member.port


class View:
    """The other processes known here, by name.

    ``news`` counts the changes that are worth telling others soon.

    Parameters
    ----------
    own : Member
        This process.
    clock : Clock
    """

    def __init__(self, own: Member, clock: Clock):
        self.own = own
        self.clock = clock
        self.known: dict[str, Known] = {}
        self.by_pool: dict[str, dict[str, Known]] = {}
        self.listed: dict[str, Host] = {}
        self.fences: dict[str, int] = {}
        self.news = 0

    def merge(self, member: Member) -> Known | None:
        """Take what somebody says of a process; return what is known of it then."""
        if member.name == self.own.name:
            return None
        if member.backend:
            fence = max(self.fences.get(member.backend, 0), member.fence)
            self.fences[member.backend] = fence
        known = self.known.get(member.name)
        if known is None or known.member.incarnation < member.incarnation:
            if known is not None:
                self.by_pool[known.member.pool].pop(member.name, None)
            now = self.clock.monotonic()
            known = Known(member, now, changed=now)
            self.news += 1
            self.known[member.name] = known
            self.by_pool.setdefault(member.pool, {})[member.name] = known
        elif known.member.incarnation > member.incarnation:
            return None
        else:
            leaving = known.member.leaving or member.leaving
            fence = max(known.member.fence, member.fence)
            version = max(known.member.version, member.version)
            if (leaving, version) != (known.member.leaving, known.member.version):
                known.changed = self.clock.monotonic()
                self.news += 1
            known.member = member
            known.member.leaving = leaving
            known.member.fence = fence
            known.member.version = version
        self.apply_host(known)
        return known

    def heard(self, member: Member, revision: int, load: Load | None) -> None:
        """Take what a process says of itself, directly."""
        known = self.merge(member)
        if known is None:
            return
        known.heard = self.clock.monotonic()
        known.revision = max(known.revision, revision)
        if load is not None:
            self.report(known, load)

    def note_call(self, name: str) -> None:
        """Note that a process called here, so that news can go back to it."""
        if name in self.known:
            self.known[name].called = self.clock.monotonic()

    def callers(self) -> list[Known]:
        """Return those that called here lately and did not leave."""
        since = self.clock.monotonic() - CALLED_LATELY
        return [
            known
            for known in self.known.values()
            if known.called >= since and not known.member.leaving
        ]

    def report(self, known: Known, load: Load) -> None:
        """Take a load report."""
        known.load = load
        known.reported = self.clock.monotonic()

    def take_hosts(self, hosts: list[Host]) -> None:
        """Take the platform's list; it may be old, so it only adds and marks."""
        self.listed = {host.name: host for host in hosts}
        for known in self.known.values():
            self.apply_host(known)

    def apply_host(self, known: Known) -> None:
        """Mark a process as leaving where the list says so of its very address."""
        host = self.listed.get(known.member.name)
        address = f"{known.member.host}:{known.member.port}"
        if host and host.leaving and host.address == address:
            known.member.leaving = True

    def forget(self) -> None:
        """Drop processes that neither answer nor stand on the platform's list."""
        horizon = self.clock.monotonic() - FORGET_AFTER
        for name, known in list(self.known.items()):
            quiet = max(known.heard, known.learnt) < horizon
            if quiet and (name not in self.listed or known.member.leaving):
                del self.known[name]
                del self.by_pool[known.member.pool][name]

    def entries(self) -> list[Known]:
        """Return the entries that are not leaving."""
        return [
            known
            for known in self.known.values()
            if known.member.role == Role.ENTRY and not known.member.leaving
        ]

    def sidecars(self, pool: str) -> list[Known]:
        """Return the sidecars of a pool that may be given work."""
        return [
            known
            for known in self.by_pool.get(pool, {}).values()
            if known.member.role == Role.SIDECAR
            and not known.member.leaving
            and known.member.fence >= self.fences.get(known.member.backend, 0)
        ]

    def deposed(self, backend: str, fence: int) -> bool:
        """Tell whether a newer sidecar has taken over that backend server."""
        return fence < self.fences.get(backend, 0)

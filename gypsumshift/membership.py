"""Members: what this process knows of the others.

Knowledge here only serves to choose well. A stale view is harmless, since a
sidecar refuses what it must not run, whatever others believe of it.
"""

import hashlib

import attrs

from gypsumshift.clock import Clock
from gypsumshift.generated.messages import Load, Member, Role
from gypsumshift.platforms import Host

__all__ = ["Peer", "Membership", "rendezvous_weight"]

PEER_RETENTION_S = 30.0
RECENT_CALL_S = 15.0
NEVER = float("-inf")


def rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of ``name`` for ``key``; the highest wins."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.define
class Peer:
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


class Membership:
    """The other processes known here, by name.

    ``news`` counts the changes that are worth telling others soon.

    Parameters
    ----------
    own : Member
        This process.
    clock : Clock
    """

    def __init__(self, own: Member, clock: Clock):
        self.own_member = own
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self.peers_by_pool: dict[str, dict[str, Peer]] = {}
        self.listed_hosts: dict[str, Host] = {}
        self.newest_fences: dict[str, int] = {}
        self.change_count = 0

    def merge_member(self, member: Member) -> Peer | None:
        """Take what somebody says of a process; return what is known of it then."""
        if member.name == self.own_member.name:
            return None
        if member.backend:
            fence = max(self.newest_fences.get(member.backend, 0), member.fence)
            self.newest_fences[member.backend] = fence
        known = self.peers.get(member.name)
        if known is None or known.member.incarnation < member.incarnation:
            if known is not None:
                self.peers_by_pool[known.member.pool].pop(member.name, None)
            now = self.clock.monotonic()
            known = Peer(member, now, changed=now)
            self.change_count += 1
            self.peers[member.name] = known
            self.peers_by_pool.setdefault(member.pool, {})[member.name] = known
        elif known.member.incarnation > member.incarnation:
            return None
        else:
            leaving = known.member.leaving or member.leaving
            fence = max(known.member.fence, member.fence)
            version = max(known.member.version, member.version)
            if (leaving, version) != (known.member.leaving, known.member.version):
                known.changed = self.clock.monotonic()
                self.change_count += 1
            known.member = member
            known.member.leaving = leaving
            known.member.fence = fence
            known.member.version = version
        self.mark_if_leaving(known)
        return known

    def apply_heartbeat(self, member: Member, revision: int, load: Load | None) -> None:
        """Take what a process says of itself, directly."""
        known = self.merge_member(member)
        if known is None:
            return
        known.heard = self.clock.monotonic()
        known.revision = max(known.revision, revision)
        if load is not None:
            self.record_load(known, load)

    def record_call(self, name: str) -> None:
        """Note that a process called here, so that news can go back to it."""
        if name in self.peers:
            self.peers[name].called = self.clock.monotonic()

    def recent_callers(self) -> list[Peer]:
        """Return those that called here lately and did not leave."""
        since = self.clock.monotonic() - RECENT_CALL_S
        return [
            known
            for known in self.peers.values()
            if known.called >= since and not known.member.leaving
        ]

    def record_load(self, known: Peer, load: Load) -> None:
        """Take a load report."""
        known.load = load
        known.reported = self.clock.monotonic()

    def apply_host_list(self, hosts: list[Host]) -> None:
        """Take the platform's list; it may be old, so it only adds and marks."""
        self.listed_hosts = {host.name: host for host in hosts}
        for known in self.peers.values():
            self.mark_if_leaving(known)

    def mark_if_leaving(self, known: Peer) -> None:
        """Mark a process as leaving where the list says so of its very address."""
        host = self.listed_hosts.get(known.member.name)
        address = f"{known.member.host}:{known.member.port}"
        if host and host.leaving and host.address == address:
            known.member.leaving = True

    def remove_stale_peers(self) -> None:
        """Drop processes that neither answer nor stand on the platform's list."""
        horizon = self.clock.monotonic() - PEER_RETENTION_S
        for name, known in list(self.peers.items()):
            quiet = max(known.heard, known.learnt) < horizon
            if quiet and (name not in self.listed_hosts or known.member.leaving):
                del self.peers[name]
                del self.peers_by_pool[known.member.pool][name]

    def entries(self) -> list[Peer]:
        """Return the entries that are not leaving."""
        return [
            known
            for known in self.peers.values()
            if known.member.role == Role.ENTRY and not known.member.leaving
        ]

    def sidecars(self, pool: str) -> list[Peer]:
        """Return the sidecars of a pool that may be given work."""
        return [
            known
            for known in self.peers_by_pool.get(pool, {}).values()
            if known.member.role == Role.SIDECAR
            and not known.member.leaving
            and known.member.fence >= self.newest_fences.get(known.member.backend, 0)
        ]

    def is_superseded(self, backend: str, fence: int) -> bool:
        """Tell whether a newer sidecar has taken over that backend server."""
        return fence < self.newest_fences.get(backend, 0)

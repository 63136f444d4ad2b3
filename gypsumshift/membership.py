"""Membership: the other processes of the system, as far as this one has seen them.

It is used only to choose a peer. Stale data is harmless, since a sidecar refuses any
request that it must not run.
"""

import attrs

from gypsumshift.clock import Clock
from gypsumshift.generated.messages import Load, Member, Role
from gypsumshift.platforms import Host
from gypsumshift.rendezvous import rendezvous_weight

__all__ = ["Peer", "Membership", "rendezvous_weight"]

# A peer that has been silent for longer is removed.
PEER_RETENTION_S = 30.0
# A peer that has called within this time is notified of changes.
RECENT_CALL_S = 15.0
NEVER = float("-inf")


@attrs.define
class Peer:
    """Another process of the system.

    Attributes
    ----------
    member : Member
        Its description of itself, received from it or passed on by another process.
    load : Load or None
        Its last load report, if it is a sidecar.
    revision : int
        Highest revision that it reported as active; -1 for none.
    heard : float
        When its last heartbeat arrived, by the monotonic clock, in seconds.
    reported : float
        When ``load`` arrived, by the monotonic clock, in seconds.
    learnt : float
        When it was first added here, by the monotonic clock, in seconds.
    called : float
        When it last sent a request here, by the monotonic clock, in seconds.
    changed : float
        When it was added, began to leave or loaded weights, by the monotonic clock, in
        seconds.
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
        """IP address and peer port."""
        return self.member.host, self.member.port


class Membership:
    """Table of the other processes, updated by heartbeats and the platform's hosts.

    Parameters
    ----------
    own_member : Member
        This process.
    clock : Clock

    Attributes
    ----------
    peers : dict of str to Peer
        By name.
    peers_by_pool : dict of str to dict
        The same peers, by pool and name.
    listed_hosts : dict of str to Host
        Platform's last list of hosts, by name.
    newest_fences : dict of str to int
        Highest fencing number seen, by backend server.
    change_count : int
        Number of changes that other processes should receive soon.
    """

    def __init__(self, own_member: Member, clock: Clock):
        self.own_member = own_member
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self.peers_by_pool: dict[str, dict[str, Peer]] = {}
        self.listed_hosts: dict[str, Host] = {}
        self.newest_fences: dict[str, int] = {}
        self.change_count = 0

    def merge_member(self, member: Member) -> Peer | None:
        """Merge the description of a process, received from it or from another one.

        A newer incarnation replaces an older one. Within an incarnation, leaving,
        fence and version never revert.

        Returns
        -------
        Peer or None
            Peer after the merge; None for this process and for older incarnations.
        """
        if member.name == self.own_member.name:
            return None
        if member.backend:
            fence = max(self.newest_fences.get(member.backend, 0), member.fence)
            self.newest_fences[member.backend] = fence
        peer = self.peers.get(member.name)
        if peer is None or peer.member.incarnation < member.incarnation:
            if peer is not None:
                self.peers_by_pool[peer.member.pool].pop(member.name, None)
            now = self.clock.monotonic()
            peer = Peer(member, now, changed=now)
            self.change_count += 1
            self.peers[member.name] = peer
            self.peers_by_pool.setdefault(member.pool, {})[member.name] = peer
        elif peer.member.incarnation > member.incarnation:
            return None
        else:
            leaving = peer.member.leaving or member.leaving
            fence = max(peer.member.fence, member.fence)
            version = max(peer.member.version, member.version)
            if (leaving, version) != (peer.member.leaving, peer.member.version):
                peer.changed = self.clock.monotonic()
                self.change_count += 1
            peer.member = member
            peer.member.leaving = leaving
            peer.member.fence = fence
            peer.member.version = version
        self.mark_if_leaving(peer)
        return peer

    def apply_heartbeat(self, member: Member, revision: int, load: Load | None) -> None:
        """Update a peer from a heartbeat that it sent itself."""
        peer = self.merge_member(member)
        if peer is None:
            return
        peer.heard = self.clock.monotonic()
        peer.revision = max(peer.revision, revision)
        if load is not None:
            self.record_load(peer, load)

    def record_call(self, name: str) -> None:
        """Record that a peer called here, so that it is notified of changes."""
        if name in self.peers:
            self.peers[name].called = self.clock.monotonic()

    def recent_callers(self) -> list[Peer]:
        """Return the peers that called here recently and are not leaving."""
        since = self.clock.monotonic() - RECENT_CALL_S
        return [
            peer
            for peer in self.peers.values()
            if peer.called >= since and not peer.member.leaving
        ]

    def record_load(self, peer: Peer, load: Load) -> None:
        """Store a peer's load report."""
        peer.load = load
        peer.reported = self.clock.monotonic()

    def apply_host_list(self, hosts: list[Host]) -> None:
        """Store the platform's list of hosts; mark peers that it lists as leaving.

        The list may be old, so it never reverts what a peer reported.
        """
        self.listed_hosts = {host.name: host for host in hosts}
        for peer in self.peers.values():
            self.mark_if_leaving(peer)

    def mark_if_leaving(self, peer: Peer) -> None:
        """Mark a peer as leaving if the host list says so for its name and address.

        The address distinguishes it from an earlier process of the same name.
        """
        host = self.listed_hosts.get(peer.member.name)
        address = f"{peer.member.host}:{peer.member.port}"
        if host and host.leaving and host.address == address:
            peer.member.leaving = True

    def remove_stale_peers(self) -> None:
        """Remove silent peers that are leaving or not on the platform's host list."""
        horizon = self.clock.monotonic() - PEER_RETENTION_S
        for name, peer in list(self.peers.items()):
            silent = max(peer.heard, peer.learnt) < horizon
            if silent and (name not in self.listed_hosts or peer.member.leaving):
                del self.peers[name]
                del self.peers_by_pool[peer.member.pool][name]

    def entries(self) -> list[Peer]:
        """Return the entries that are not leaving."""
        return [
            peer
            for peer in self.peers.values()
            if peer.member.role == Role.ENTRY and not peer.member.leaving
        ]

    def sidecars(self, pool: str) -> list[Peer]:
        """Return the sidecars of a pool that accept requests.

        Those that are leaving are left out, and those whose backend server a newer
        sidecar has taken over.
        """
        return [
            peer
            for peer in self.peers_by_pool.get(pool, {}).values()
            if peer.member.role == Role.SIDECAR
            and not peer.member.leaving
            and peer.member.fence >= self.newest_fences.get(peer.member.backend, 0)
        ]

    def is_superseded(self, backend: str, fence: int) -> bool:
        """Return whether a newer sidecar has taken over a backend server."""
        return fence < self.newest_fences.get(backend, 0)

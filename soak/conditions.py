"""Kinds of servers and callers of one run, chosen by its seed."""

import random

import attrs

__all__ = ["PLAIN", "Conditions", "choose_conditions"]

ALIKE_FACTORS = (1.0,)
# Time factors of three builds of an engine.
UNLIKE_FACTORS = (0.6, 1.0, 1.6)
# Shares of the runs with shared hosts, with unlike engines, and with crowding.
SHARED_HOSTS_SHARE, UNLIKE_ENGINES_SHARE, CROWDING_SHARE = 0.6, 0.6, 0.75
# Requests that wait at a server, for each of its slots.
QUEUED_PER_SLOT = 4


@attrs.frozen
class Conditions:
    """What the servers of a run are like, and whether callers crowd it.

    Attributes
    ----------
    shared_hosts : bool
        Whether the pace of servers changes, and is reported as a fourth figure.
    engine_factors : tuple of float
        Time factors of engines, which take turns.
    crowding : bool
        Whether a caller floods the application servers from time to time.
    app_slots : int
        Requests that an application server runs concurrently.
    app_work_ms : float
        Usual time of a request at an application server.
    app_queue_length : int
        Requests that wait at an application server.
    """

    shared_hosts: bool = False
    engine_factors: tuple[float, ...] = ALIKE_FACTORS
    crowding: bool = False
    app_slots: int = 6
    app_work_ms: float = 20
    app_queue_length: int = 0

    def __str__(self) -> str:
        figures = "four" if self.shared_hosts else "three"
        engines = "unlike" if len(self.engine_factors) > 1 else "alike"
        crowding = "crowding" if self.crowding else "no crowding"
        return f"{figures} figures, {engines} engines, {crowding}"


# Servers that report three figures and have no queue, alike engines, and no crowding.
PLAIN = Conditions()


def choose_conditions(seed: int) -> Conditions:
    """Return the conditions of a seed.

    Crowded servers have few slots and more work for each request, so that a flood that
    the machine can produce exceeds what they can do.
    """
    rng = random.Random(f"{seed} conditions")
    shared_hosts = rng.random() < SHARED_HOSTS_SHARE
    unlike_engines = rng.random() < UNLIKE_ENGINES_SHARE
    crowding = rng.random() < CROWDING_SHARE
    slots = 3 if crowding else 6
    return Conditions(
        shared_hosts,
        UNLIKE_FACTORS if unlike_engines else ALIKE_FACTORS,
        crowding,
        app_slots=slots,
        app_work_ms=80 if crowding else 20,
        app_queue_length=QUEUED_PER_SLOT * slots,
    )

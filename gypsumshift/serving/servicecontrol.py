"""Shares, credits and waiting calls of one service in one process."""

import math
import random

from gypsumshift.clock import Clock
from gypsumshift.serving.admissionrule import Figures
from gypsumshift.serving.capacitycorrection import CapacityCorrection, ServiceState
from gypsumshift.serving.demand import DemandTable, Total
from gypsumshift.serving.fairqueue import FairQueue, Ticket
from gypsumshift.serving.fairshares import (
    OTHERS,
    REWARD_RANK,
    ShareKey,
    divide_capacity,
    protect_satisfied,
)
from gypsumshift.serving.retryschedule import RetrySchedule
from gypsumshift.serving.servicetimes import ServiceTimes

__all__ = ["SHARES_MAX_AGE_SECONDS", "SHARES_MAX_CALLS", "ServiceControl"]

# Age up to which computed shares are used: much less than that of the figures in them,
# and the division costs little also when many calls arrive.
SHARES_MAX_AGE_SECONDS = 0.25
# Calls for which computed shares are used, so that a burst does not use old ones.
SHARES_MAX_CALLS = 16
# Share of the free places that is lent to waiting calls at a time. All of them would be
# lent again until the servers report them as busy, 0.1 to 0.6 s later.
LENT_SHARE = 0.5
# Keys of which the credit is kept.
MAX_CREDITS = 1024
# Credit that expected retries may use in advance, so that they go before new calls.
MAX_RETRY_DEBT = 2.0
# Part of the rate that retries may use in any case, also while new calls take it all.
MIN_RETRY_SHARE = 0.1
# New calls are averaged over this time for the rate that is left to retries; shorter
# than a surge, longer than a burst.
ARRIVALS_WINDOW_SECONDS = 10.0
# Limits of the correction of the share that is sent where no demand of others is known.
MIN_SOLO_SHARE = 0.02
CORRECTION_LIMITS = (0.25, 4.0)


class ServiceControl:
    """Shares, credits and waiting calls of one service in one process.

    Parameters
    ----------
    service : str
    demand : DemandTable
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    correction : CapacityCorrection
        Of the capacity, while the demand of other processes is known.
    solo : CapacityCorrection
        Its factor is the share of the own calls that is sent while no demand of others
        is known.
    shares : dict
        Share of its demand that is sent, by key.
    rank_shares : dict
        Largest share by rank.
    credits : dict
        Calls that may be sent at once, by key.
    """

    def __init__(
        self, service: str, demand: DemandTable, clock: Clock, chance: random.Random
    ):
        self.service = service
        self.demand = demand
        self.clock = clock
        self.chance = chance
        self.correction = CapacityCorrection(clock, CORRECTION_LIMITS)
        self.solo = CapacityCorrection(clock, (MIN_SOLO_SHARE, 1.0))
        self.times = ServiceTimes()
        self.queue = FairQueue()
        self.schedule = RetrySchedule(clock, chance)
        self.credits: dict[ShareKey, float] = {}
        self.shares: dict[ShareKey, float] = {}
        self.rank_shares: dict[int, float] = {}
        self.total = Total({}, {})
        self.state: ServiceState | None = None
        self.capacity = 0.0
        self.updated_at = -math.inf
        self.calls_since_update = 0
        self.lent = 0.0
        self.lent_at = clock.monotonic()
        self.slow_rate = 0.0
        self.slow_at = clock.monotonic()

    def reset(self) -> None:
        """Forget corrections and credits: the service is not contended."""
        self.correction.relax()
        self.solo.relax()
        self.credits.clear()
        self.updated_at = -math.inf

    def update(self, state: ServiceState, key: ShareKey | None = None) -> None:
        """Compute the shares again if they are too old, or lack the rank of a key."""
        now = self.clock.monotonic()
        self.calls_since_update += 1
        is_known = key is None or key.rank in self.rank_shares
        is_current = now - self.updated_at < SHARES_MAX_AGE_SECONDS
        if is_known and is_current and self.calls_since_update < SHARES_MAX_CALLS:
            return
        self.calls_since_update = 0
        self.updated_at = now
        self.state = state
        self.total = self.demand.total(self.service, self.usual_seconds())
        is_limiting = self.average_share() < 1.0
        if self.total.others:
            self.correction.update(state, is_limiting)
            self.capacity = state.places * self.correction.value
            self.shares = self.divide(state.places * self.correction.factor)
            self.solo.set_factor(self.average_share())
        else:
            self.solo.update(state, is_limiting)
            sent = self.total.own_places * self.solo.value
            self.capacity = min(state.places, sent)
            self.shares = divide_capacity(self.capacity, self.total.own)
        self.rank_shares = {}
        for known, share in self.shares.items():
            best = self.rank_shares.get(known.rank, 0.0)
            self.rank_shares[known.rank] = max(best, share)

    def divide(self, places: float) -> dict[ShareKey, float]:
        """Return the shares by the demand of all processes.

        Parameters
        ----------
        places : float
            Capacity without the reduction by which the queue at the servers drains.
        """
        demands, places = self.total.demands, max(places, self.capacity)
        shares = divide_capacity(places, demands)
        if self.total.places <= self.capacity:
            return shares
        return protect_satisfied(shares, places, self.capacity, demands)

    def average_share(self) -> float:
        """Return the share of the own demand that is sent."""
        asked = self.total.own_places
        if not asked:
            return 1.0
        sent = sum(
            self.share_of(key) * demand.places for key, demand in self.total.own.items()
        )
        return sent / asked

    def share_of(self, key: ShareKey) -> float:
        """Return the share of a key's demand that is sent.

        A key that is new since the division has asked for little yet, so it gets the
        largest share of its rank.
        """
        share = self.shares.get(key)
        if share is None:
            share = self.shares.get(ShareKey(key.rank, OTHERS))
        if share is None:
            share = self.rank_shares.get(key.rank, 1.0)
        return share

    def own_fraction(self) -> float:
        """Return the part of the whole demand that is this process's."""
        total = self.total.places
        return self.total.own_places / total if total else 1.0

    def take_credit(self, ticket: Ticket) -> bool:
        """Add a call's share to its key's credit; use a whole credit to send it."""
        key = ticket.key
        if key not in self.credits and len(self.credits) >= MAX_CREDITS:
            self.credits.clear()
        credit = self.credits.get(key)
        if credit is None:
            # A random start, so that the processes' first calls are not all refused.
            credit = self.chance.random()
        credit += self.share_of(key)
        needed = 1.0 - MAX_RETRY_DEBT if ticket.is_retry else 1.0
        admitted = credit >= needed
        self.credits[key] = credit - 1.0 if admitted else credit
        return admitted

    def retry_fraction(self) -> float:
        """Return the part of the capacity that this process plans retries for.

        It is an equal part: right after a surge the demand of others is known late, so
        that the own part of it may seem many times larger or smaller than it is.
        """
        return 1.0 / max(self.total.others + 1, self.demand.count_processes())

    def calls_per_second(self) -> float:
        """Return the rate of calls of the usual cost that retries are planned by."""
        places = self.state.places if self.state else self.capacity
        return places * self.retry_fraction() / self.usual_seconds()

    def usual_seconds(self) -> float:
        """Return the usual time of the own calls, by their demand."""
        own = self.total.own
        rewards = sum(d.places for k, d in own.items() if k.rank == REWARD_RANK)
        part = rewards / self.total.own_places if self.total.own_places else 0.0
        caller = self.times.usual(False, math.inf)
        return (1.0 - part) * caller + part * self.times.usual(True, math.inf)

    def lending_rate(self) -> float:
        """Return the calls per second for which this process may use free places."""
        if self.state is None:
            return 0.0
        free = self.state.free * LENT_SHARE
        if self.total.others == 0:
            # The part of others is unknown; the last known one is kept by the share.
            free *= self.solo.factor
        return free * self.own_fraction() / self.usual_seconds()

    def refill_lent(self) -> None:
        """Add the calls for which free places were lent since the last time.

        Nothing is saved up while no call waits: all processes would spend their savings
        at the same time. The start is random, since one process is lent less than a
        whole call within a wait.
        """
        now = self.clock.monotonic()
        if len(self.queue):
            self.lent += self.lending_rate() * (now - self.lent_at)
        else:
            self.lent = self.chance.random()
        self.lent_at = now

    def expected_wait(self, ticket: Ticket) -> float:
        """Return the seconds until a call's turn, by the free places that are lent."""
        needed = self.queue.count_ahead_of(ticket) + 1 - self.lent
        if needed <= 0:
            return 0.0
        rate = self.lending_rate()
        return needed / rate if rate > 0 else math.inf

    def count_arrival(self) -> None:
        """Count an arrival in the slow average that retries are scheduled by."""
        now = self.clock.monotonic()
        self.slow_rate *= math.exp(-(now - self.slow_at) / ARRIVALS_WINDOW_SECONDS)
        self.slow_rate += 1.0 / ARRIVALS_WINDOW_SECONDS
        self.slow_at = now

    def retry_after(self, time_left: float) -> float:
        """Return the seconds until a retry of a call that is refused now.

        The call is no part of the usual arrivals, beside which retries are planned: a
        burst would else leave no room for its own retries.
        """
        self.slow_rate = max(0.0, self.slow_rate - 1.0 / ARRIVALS_WINDOW_SECONDS)
        rate = self.calls_per_second()
        left = max(rate - self.slow_rate, MIN_RETRY_SHARE * rate)
        return self.schedule.book(left, time_left)

    def figures(self, ticket: Ticket, wait: float) -> Figures:
        """Return the figures that decide about a call."""
        state = self.state
        return Figures(
            self.capacity,
            self.total.places,
            self.share_of(ticket.key),
            len(self.queue),
            wait,
            state.utilization if state else 0.0,
            state.age if state else math.inf,
            self.total.age,
            self.total.others,
        )

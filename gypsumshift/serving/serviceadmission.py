"""Admission of calls to services that are at times too small for all.

Each process decides for its own calls. It divides the capacity of a service, as the
load balancer computes it from the servers' reports, by the demand of all processes
(`demand.py`, `fairshares.py`), and sends that share of its own arrivals. A process
receives few calls, often less than one at a time for a share, so a share is a part of
the arrivals: each arrival adds the share to a credit, and a whole credit sends a call.
Calls without a credit wait for places that the servers report as free, and are refused
as soon as their turn cannot come in time. The module uses no network; the clock, the
random source and the reports are passed in.
"""

import abc
import math
import random

import attrs

from gypsumshift.clock import Clock
from gypsumshift.serving.capacitycorrection import CapacityCorrection, ServiceState
from gypsumshift.serving.demand import DemandTable, Total
from gypsumshift.serving.fairqueue import FairQueue, Ticket
from gypsumshift.serving.fairshares import (
    OTHERS,
    REWARD_RANK,
    ShareKey,
    divide_capacity,
)
from gypsumshift.serving.retryschedule import RetrySchedule
from gypsumshift.serving.servicetimes import ServiceTimes

__all__ = ["AdmissionRule", "Decision", "Figures", "ServiceAdmission", "Verdict"]

# Demand is reported and shares are computed from this utilization on. A service whose
# servers are mostly free is left alone, and nothing is added to the digests.
NEAR_FULL_UTILIZATION = 0.7
# Below this utilization every call is sent, whatever demand is known: refusing a call
# while most places are free would be wrong, and a queue is far.
FREE_UTILIZATION = 0.5
# Age up to which computed shares are used: much less than that of the figures in them,
# and the division costs little also when many calls arrive.
SHARES_MAX_AGE_SECONDS = 0.25
# Calls for which computed shares are used, so that a burst does not use old ones.
SHARES_MAX_CALLS = 16
# Share of the free places that is lent to waiting calls at a time. All of them would be
# lent again until the servers report them as busy, 0.1 to 0.6 s later.
LENT_SHARE = 0.5
# Longest wait, as a share of the objective. An answer takes a quarter of the objective,
# so that a call that waited so long is still on time after a retry at another server.
MAX_WAIT_SHARE = 0.25
# Longest wait without an objective, as a share of the time left.
MAX_WAIT_SHARE_OF_TIME_LEFT = 0.1
# Waiting calls of one process and service. More cannot be sent within a wait.
MAX_WAITING = 128
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


class Verdict:
    """What becomes of a call: names of the decisions."""

    SENT = "sent"
    WAITS = "waits"
    REFUSED = "refused"


@attrs.frozen
class Figures:
    """Figures that decided about a call.

    Attributes
    ----------
    capacity, demand, share : float
        Places of the service after correction, demand for it in places, and the share
        of the demand of the call's key that is sent.
    waiting : int
        Calls waiting in this process.
    expected_wait : float
        Seconds until the call's turn.
    utilization : float
    load_age, demand_age : float
        Ages of the reports and of the demands of others, in seconds.
    others : int
        Processes whose demand is included.
    """

    capacity: float
    demand: float
    share: float
    waiting: int
    expected_wait: float
    utilization: float
    load_age: float
    demand_age: float
    others: int


@attrs.frozen
class Decision:
    """Decision about one call.

    Attributes
    ----------
    verdict : str
        One of `Verdict`.
    reason : str
    retry_after : float
        Seconds after which a refused call is to be tried again.
    figures : Figures or None
        None where the service is not contended.
    """

    verdict: str
    reason: str = ""
    retry_after: float = 0.0
    figures: Figures | None = None


SENT_UNCONTENDED = Decision(Verdict.SENT)


class AdmissionRule(abc.ABC):
    """Decides which calls of this process are sent, wait or are refused."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket) -> Decision:
        """Decide about a new call; a waiting one is decided later by `poll`."""

    @abc.abstractmethod
    def poll(self, service: str) -> int:
        """Decide about waiting calls as far as possible; return how many still wait."""

    @abc.abstractmethod
    def withdraw(self, ticket: Ticket) -> None:
        """Cancel a waiting call whose caller left."""

    @abc.abstractmethod
    def knows_load(self, service: str) -> bool:
        """Return whether servers have lately reported the load of a service."""

    @abc.abstractmethod
    def refuse(self, ticket: Ticket) -> float:
        """Register a refusal; return the seconds until a retry."""

    @abc.abstractmethod
    def record_answer(
        self, service: str, key: ShareKey, seconds: float, slowdown: float
    ) -> None:
        """Record how long a call occupied a server until its answer.

        Parameters
        ----------
        service : str
        key : ShareKey
        seconds, slowdown : float
            Time to the answer, and the slowdown that the server's host reported.
        """


class LoadSource(abc.ABC):
    """Reported load of services."""

    @abc.abstractmethod
    def state(self, service: str) -> ServiceState | None:
        """Return the present state; None if no server has reported its load lately."""


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
            self.shares = divide_capacity(self.capacity, self.total.demands)
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

        Right after a surge the demand of others is known late, and the own part seems
        larger than it is. It is therefore limited to an equal part.
        """
        processes = max(self.total.others + 1, self.demand.count_processes())
        if not self.total.others:
            return 1.0 / processes
        return min(self.own_fraction(), 1.0 / processes)

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
        """Return the seconds until a retry of a call that is refused now."""
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


class ServiceAdmission(AdmissionRule):
    """Admission by shares of the demand of all processes.

    Parameters
    ----------
    loads : LoadSource
    demand : DemandTable
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    controls : dict
        `ServiceControl` by service.
    """

    def __init__(
        self,
        loads: LoadSource,
        demand: DemandTable,
        clock: Clock,
        chance: random.Random,
    ):
        self.loads = loads
        self.demand = demand
        self.clock = clock
        self.chance = chance
        self.controls: dict[str, ServiceControl] = {}

    def control(self, service: str) -> ServiceControl:
        """Return the control of a service, created if missing."""
        if service not in self.controls:
            self.controls[service] = ServiceControl(
                service, self.demand, self.clock, self.chance
            )
        return self.controls[service]

    def offer(self, ticket: Ticket) -> Decision:
        """Decide about a new call; a waiting one is decided later by `poll`."""
        control = self.control(ticket.service)
        ticket.offered_at = self.clock.monotonic()
        self.count_arrival(control, ticket)
        state = self.contended_state(ticket.service)
        if state is None:
            if not len(control.queue):
                control.reset()
            return SENT_UNCONTENDED
        control.update(state, ticket.key)
        ticket.is_retry = self.demand.take_retry(ticket.mark)
        if control.take_credit(ticket):
            figures = control.figures(ticket, 0.0)
            return Decision(Verdict.SENT, "within the share", figures=figures)
        return self.defer(control, ticket)

    def count_arrival(self, control: ServiceControl, ticket: Ticket) -> None:
        """Count a call as demand."""
        seconds = control.times.usual(ticket.key.rank == REWARD_RANK, ticket.objective)
        self.demand.record_arrival(ticket.service, ticket.key, seconds)
        control.count_arrival()

    def contended_state(self, service: str) -> ServiceState | None:
        """Return the state of a service that is contended; None if it is not.

        It is not where no server reports its load: then the servers' refusals decide.
        """
        state = self.loads.state(service)
        if state is None:
            return None
        if state.utilization >= NEAR_FULL_UTILIZATION:
            self.demand.record_full(service)
        if state.utilization < FREE_UTILIZATION:
            return None
        return state if self.demand.is_contended(service) else None

    def defer(self, control: ServiceControl, ticket: Ticket) -> Decision:
        """Let a call wait for free places, or refuse it if its turn comes too late."""
        now = self.clock.monotonic()
        control.refill_lent()
        ticket.give_up_at = now + self.longest_wait(control, ticket)
        wait = control.expected_wait(ticket)
        figures = control.figures(ticket, wait)
        if now + wait > ticket.give_up_at or len(control.queue) >= MAX_WAITING:
            reason = "its turn would come too late"
            return Decision(Verdict.REFUSED, reason, self.refuse(ticket), figures)
        control.queue.push(ticket)
        self.demand.own_demand(ticket.service).waiting = len(control.queue)
        return Decision(Verdict.WAITS, "no free place yet", figures=figures)

    def longest_wait(self, control: ServiceControl, ticket: Ticket) -> float:
        """Return the seconds for which a call may wait."""
        time_left = ticket.deadline - self.clock.monotonic()
        usual = control.times.usual(ticket.key.rank == REWARD_RANK, ticket.objective)
        if math.isinf(ticket.objective):
            useful = MAX_WAIT_SHARE_OF_TIME_LEFT * time_left
        else:
            useful = MAX_WAIT_SHARE * ticket.objective
        return max(0.0, min(useful, time_left - usual))

    def poll(self, service: str) -> int:
        """Decide about waiting calls as far as possible; return how many still wait."""
        control = self.control(service)
        state = self.contended_state(service)
        if state is None:
            control.lent = math.inf
        else:
            control.update(state)
            control.refill_lent()
        while control.lent >= 1.0 and len(control.queue):
            control.lent -= 1.0
            control.queue.pop().on_decision(True)
        if state is None:
            control.reset()
        self.refuse_late(control)
        self.demand.own_demand(service).waiting = len(control.queue)
        return len(control.queue)

    def refuse_late(self, control: ServiceControl) -> None:
        """Refuse waiting calls whose turn cannot come in time any more."""
        now = self.clock.monotonic()
        for ticket in list(control.queue):
            if now + control.expected_wait(ticket) > ticket.give_up_at:
                control.queue.withdraw(ticket)
                ticket.on_decision(False)

    def withdraw(self, ticket: Ticket) -> None:
        """Cancel a waiting call whose caller left."""
        control = self.control(ticket.service)
        control.queue.withdraw(ticket)
        self.demand.own_demand(ticket.service).waiting = len(control.queue)

    def knows_load(self, service: str) -> bool:
        """Return whether servers have lately reported the load of a service."""
        return self.loads.state(service) is not None

    def refuse(self, ticket: Ticket) -> float:
        """Register a refusal; return the seconds until a retry."""
        now = self.clock.monotonic()
        control = self.control(ticket.service)
        state = self.loads.state(ticket.service)
        if state is not None:
            control.update(state)
        seconds = control.retry_after(ticket.deadline - now)
        self.demand.expect_retry(ticket.mark, now + seconds)
        return seconds

    def record_answer(self, service, key, seconds, slowdown):
        """Record the time to an answer, unless calls may wait at the servers.

        Waiting at a server is no work, and would be counted as such.
        """
        state = self.loads.state(service)
        if state is None or state.utilization < NEAR_FULL_UTILIZATION:
            times = self.control(service).times
            times.record(key.rank == REWARD_RANK, seconds, slowdown)

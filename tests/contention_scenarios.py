"""Scenarios of contended services, and a table that compares the approaches.

``python -m tests.contention_scenarios`` prints the table.
"""

import statistics

import attrs

from tests.contention_world import SERVICE, World, shares_by_demand
from tests.predicted_wait import predicted_wait

APPROACHES = {
    "shares by demand": shares_by_demand,
    "predicted wait": predicted_wait,
    "switched off": None,
}
SMALL = [f"w{number}" for number in range(10)]
# Time in which gateways measure service times, and time at the usual load after it.
QUIET_S, WARM_UP_S = 5.0, 8.0
# Window over which rates of calls are measured.
RATE_WINDOW_S = 0.5


def world_at(load, rule, seed, **options):
    """Return a world whose small workspaces ask for a part of the capacity."""
    world = World(rule, seed, **options)
    for name in SMALL:
        world.add_callers(name, world.capacity * load / 30)
    world.run(QUIET_S)
    for name in SMALL:
        world.add_callers(name, world.capacity * load / 15)
    world.run(WARM_UP_S)
    return world


def served(world, names, attribute="served"):
    """Return the share of the calls of some workspaces that was answered."""
    tallies = [world.tallies[name] for name in names]
    offered = sum(tally.offered for tally in tallies)
    return sum(getattr(tally, attribute) for tally in tallies) / max(offered, 1)


@attrs.frozen
class FloodResult:
    """Served shares of the small workspaces before and while one sends much more."""

    before: float
    others: float
    others_settled: float
    others_on_time: float
    flood: float
    used: float


def flood(rule, seed, **options):
    """Let one workspace send ten times its share for 10 s at a full service.

    ``others_settled`` leaves out the first 2 s, in which the digests spread.
    """
    world = world_at(0.9, rule, seed, **options)
    world.reset()
    world.run(5)
    before = served(world, SMALL)
    world.reset()
    world.add_callers("flood", world.capacity, seconds=10)
    world.run(2)
    first = [attrs.evolve(world.tallies[name]) for name in SMALL]
    world.run(8)
    others, on_time = served(world, SMALL), served(world, SMALL, "on_time")
    now = [world.tallies[name] for name in SMALL]
    offered = sum(tally.offered for tally in now) - sum(t.offered for t in first)
    settled = sum(tally.served for tally in now) - sum(t.served for t in first)
    return FloodResult(
        before,
        others,
        settled / offered,
        on_time,
        served(world, ["flood"]),
        world.used_share(10),
    )


@attrs.frozen
class PriorityResult:
    """Served shares of high and low priority at a service that is too small."""

    high: float
    low: float
    used: float


def priorities(rule, seed):
    """Let calls of low priority ask for 1.6 of the capacity, of high ones for 0.4."""
    world = World(rule, seed)
    capacity = world.capacity
    world.add_callers("high", 0.2 * capacity, priority=0)
    world.add_callers("low", 0.2 * capacity, priority=2)
    world.run(QUIET_S)
    world.add_callers("high", 0.2 * capacity, priority=0)
    world.add_callers("low", 1.4 * capacity, priority=2)
    world.run(WARM_UP_S)
    world.reset()
    world.run(10)
    used = world.used_share(10)
    return PriorityResult(served(world, ["high"]), served(world, ["low"]), used)


@attrs.frozen
class HalvingResult:
    """How closely admissions follow the capacity when it halves and recovers.

    Attributes
    ----------
    halved, recovered : float
        Calls sent, over the capacity, from 2 s after the change on.
    queue : float
        Calls waiting at the servers per slot, on average from 2 s after on.
    turns : int
        Changes of direction of the limit by more than a tenth.
    """

    halved: float
    recovered: float
    queue: float
    turns: int


def halving(rule, seed):
    """Let the work take twice as long for 8 s at a demand of 0.95 of the capacity."""
    world = world_at(0.95, rule, seed)
    limits, queues = [], []

    def run(seconds):
        world.reset()
        for _ in range(int(seconds / 0.25)):
            world.run(0.25)
            limits.append(mean_limit(world))
            queues.append(
                statistics.mean(len(s.queue) / s.slots for s in world.servers)
            )

    def ratio(seconds):
        return len(world.sent_at) / seconds / world.capacity

    run(2)
    for server in world.servers:
        server.slowdown = 2.0
    run(2)
    del queues[:]
    run(6)
    halved, queue = ratio(6), statistics.mean(queues)
    for server in world.servers:
        server.slowdown = 1.0
    run(2)
    run(6)
    return HalvingResult(halved, ratio(6), queue, count_turns(limits))


def mean_limit(world):
    """Return the mean limit of the gateways, in places."""
    controls = [
        gateway.admission.controls.get(SERVICE)
        for gateway in world.gateways
        if hasattr(gateway.admission, "controls") and gateway.up
    ]
    limits = [each.capacity for each in controls if each is not None]
    return statistics.mean(limits) if limits else 0.0


def count_turns(values, hysteresis=0.1):
    """Return how often a series changes direction by more than a relative amount."""
    turns, direction, extreme = 0, 0, values[0]
    for value in values:
        if direction >= 0 and value < extreme * (1 - hysteresis):
            turns += direction > 0
            direction, extreme = -1, value
        elif direction <= 0 and value > extreme * (1 + hysteresis):
            turns += direction < 0
            direction, extreme = 1, value
        elif (direction >= 0 and value > extreme) or (
            direction <= 0 and value < extreme
        ):
            extreme = value
    return turns


@attrs.frozen
class DisruptionResult:
    """Calls sent over the capacity after gateways were cut off, killed or added.

    Attributes
    ----------
    longest_excess : float
        Longest time in seconds for which more than 1.1 of the capacity was sent.
    sent : float
        Calls sent over the capacity, on average.
    smallest : float
        Share of the calls served of the workspace served least.
    demand_age : float
        Age in seconds of the oldest demand in use before, on average.
    """

    longest_excess: float
    sent: float
    smallest: float
    demand_age: float


def disruption(rule, seed, kind):
    """Cut off or kill half of the gateways, or add some two at a time."""
    world = world_at(1.8, rule, seed)
    ages = [
        gateway.admission.control(SERVICE).total.age
        for gateway in world.gateways
        if hasattr(gateway.admission, "control")
    ]
    world.reset()
    if kind == "cut off":
        for gateway in world.gateways[::2]:
            gateway.connected = False
    elif kind == "kill":
        for gateway in world.gateways[::2]:
            gateway.up = False
    else:
        for number in range(4):
            world.after(2.0 * number, world.add_gateway)
            world.after(2.0 * number, world.add_gateway)
    started = world.now
    world.run(12)
    rates = [
        sum(1 for at in world.sent_at if start <= at < start + RATE_WINDOW_S)
        / RATE_WINDOW_S
        / world.capacity
        for start in (started + 0.1 * number for number in range(115))
    ]
    shares = [world.tallies[name].share for name in SMALL]
    sent = len(world.sent_at) / 12 / world.capacity
    age = statistics.mean(ages) if ages else 0.0
    return DisruptionResult(longest_run(rates), sent, min(shares), age)


def longest_run(rates, limit=1.1, step=0.1):
    """Return the longest time for which rates exceed a limit."""
    longest = current = 0
    for rate in rates:
        current = current + 1 if rate > limit else 0
        longest = max(longest, current)
    return longest * step


@attrs.frozen
class RetryResult:
    """Retries after a burst of calls that exceeds the capacity.

    Attributes
    ----------
    peak : float
        Largest rate of arrivals in 0.25 s once the burst is over, over the capacity.
    served : float
        Share of the calls served.
    """

    peak: float
    served: float


def burst(rule, seed, **options):
    """Let 300 calls arrive at once beside 0.3 of the capacity; callers retry."""
    world = world_at(0.3, rule, seed, retries=True, **options)
    world.reset()
    for _ in range(300):
        world.after(0.0, lambda: world.new_call("burst"))
    world.run(0.1)
    del world.arrived_at[:]
    world.run(4)
    peak = world.peak_rate(world.arrived_at, 0.25) / world.capacity
    return RetryResult(peak, served(world, [*SMALL, "burst"]))


def mean_of(results):
    """Return the means of the fields of several results, as text."""
    fields = [field.name for field in attrs.fields(type(results[0]))]
    values = {
        name: statistics.mean(getattr(result, name) for result in results)
        for name in fields
    }
    return "  ".join(f"{name} {value:.3f}" for name, value in values.items())


def main(seeds=(1, 2, 3)):
    """Print the means over some seeds, by scenario and approach."""
    scenarios = {
        "flood": flood,
        "flood, callers retry": lambda r, s: flood(r, s, retries=True),
        "priorities": priorities,
        "halving": halving,
        "cut off": lambda r, s: disruption(r, s, "cut off"),
        "kill": lambda r, s: disruption(r, s, "kill"),
        "add": lambda r, s: disruption(r, s, "add"),
        "burst": burst,
    }
    for name, scenario in scenarios.items():
        for approach, rule in APPROACHES.items():
            results = [scenario(rule, seed) for seed in seeds]
            print(f"{name:22}{approach:18}{mean_of(results)}", flush=True)


if __name__ == "__main__":
    main()

"""What connections prove about a server's start, and what callers get at a warm one.

Guards against two faults: requests at the usual rate to a start that nobody knows yet,
and limits at a warm server whose connections prove its start.
"""

import attrs
import pytest

from gypsumshift.serving.cold import Grant
from gypsumshift.serving.cold.proofs import LIVE_SECONDS, StartProofs
from gypsumshift.serving.cold.senders import ChosenSenders
from tests.builders import ManualClock
from tests.cold_world import BOUND, LIMIT, most_in_a_second
from tests.job_builders import server
from tests.linked_world import STEP, LinkedWorld, ModelLink, finish
from tests.test_coldrates import confirm, entry, make_rates

PROCESSES = 60
SEEDS = range(1, 6)
ALLOWED = LIMIT.per_second * BOUND.excess + BOUND.slack
# Time after which the processes have proofs, at one request a second from each.
PROVED_S = 6


def proved_world(seed, **options):
    """Return a world in which each process has a connection that proves the start."""
    world = LinkedWorld(seed, PROCESSES, ChosenSenders, **options)
    world.run(PROVED_S, STEP)
    world.forget()
    return world


@pytest.mark.parametrize("rate", [30, 120, 300])
@pytest.mark.parametrize("seed", range(1, 21))
def test_a_restart_that_nobody_has_heard_of(seed, rate):
    """Guards against new connections that count as leading to the old start."""
    world = proved_world(seed)
    world.run(1, rate * STEP / PROCESSES)
    world.forget()
    world.restart_server()
    world.run(2, rate * STEP / PROCESSES)
    assert world.arrivals
    assert most_in_a_second(world.arrivals) <= ALLOWED


def test_the_bound_needs_the_proofs(monkeypatch):
    """If each connection counts as proved, a restart exceeds the bound."""
    monkeypatch.setattr(StartProofs, "is_proved", lambda self, found, link: True)
    world = proved_world(1)
    world.restart_server()
    world.run(1, 120 * STEP / PROCESSES)
    assert most_in_a_second(world.arrivals) > ALLOWED


@pytest.mark.parametrize("rate", [60, 300])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_proved_warm_server_gets_all_that_it_can_serve(seed, rate):
    """Guards against a limit on all requests, which would starve callers."""
    world = proved_world(seed)
    world.run(5, rate * STEP / PROCESSES)
    assert world.withheld == 0
    assert len(world.arrivals) >= 0.9 * rate * 5


@pytest.mark.parametrize("seed", SEEDS)
def test_one_process_of_sixty_sends_a_request_each_second(seed):
    """Guards against a share of the limit that is below one request."""
    world = LinkedWorld(seed, PROCESSES, ChosenSenders)
    # After the start of the processes, servers count as cold for 2 s.
    world.run(3, 0.0)
    others = world.senders[1:]
    sent = []
    for _ in range(12):
        world.run(1, 0.0)
        sent.append(world.send(world.senders[0], world.clock.monotonic()))
    assert sent == [True] * 12
    assert not any(world.links[sender.name] for sender in others)


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_and_unrepeatable_calls_come_first_on_their_connections(seed):
    """Guards against limits on those that cannot use a kept connection."""
    world = proved_world(seed)
    world.run(1, 60 * STEP / PROCESSES)
    world.forget()
    now = world.clock.monotonic()
    found = world.entry()
    without = [s for s in world.senders if not s.rates.proofs.is_running(found)]
    # Each process sends a stream and a call that must not be repeated, all at once.
    sent = [world.send(s, now, fresh=True) for s in world.senders * 2]
    assert all(sent)
    # Only processes without a request in the last seconds had to ask.
    assert sum(world.grants.values()) <= 2 * len(without)


def test_a_process_without_a_connection_learns_that_the_start_runs():
    world = proved_world(1)
    world.add_sender("new")
    new = world.senders[-1]
    world.run(3, 60 * STEP / PROCESSES)
    # Long enough that it would ask again after a refusal.
    world.run(0.5, 0.0)
    world.links["new"].clear()
    world.forget()
    assert world.send(new, world.clock.monotonic(), fresh=True)
    assert world.grants[Grant.RUNNING] == 1


@pytest.mark.parametrize("seed", SEEDS)
def test_a_cold_server_is_used_by_processes_without_a_part(seed):
    """Guards against calls that are refused although the cold server has room."""
    world = proved_world(seed)
    world.restart_server()
    world.run(2.5)
    world.forget()
    chosen = world.senders[0].rates.own_part.__self__.senders(world.server.id, 13)
    without_part = [s for s in world.senders if s.name not in chosen]
    world.run(3, senders=without_part)
    assert len(world.arrivals) >= 0.9 * LIMIT.per_second * 3
    assert most_in_a_second(world.arrivals) <= ALLOWED


@pytest.mark.parametrize("rate", [60, 300])
def test_a_server_that_is_cold_again_without_a_restart(rate):
    """Guards against connections that count as proof of a server that is still warm.

    It keeps its connections, and entries tell of it up to 2 s late.
    """
    world = proved_world(1)
    world.run(1, rate * STEP / PROCESSES)
    world.forget()
    world.cool_down()
    world.run(2, rate * STEP / PROCESSES)
    assert most_in_a_second(world.arrivals) <= ALLOWED


def test_a_known_cold_server_is_limited_on_proved_connections():
    """Guards against proofs that lift the limit, as when a zone returns."""
    world = proved_world(1)
    world.run(1, 300 * STEP / PROCESSES)
    world.forget()
    for sender in world.senders:
        sender.rates.note_zone_return("here")
    world.run(2, 300 * STEP / PROCESSES)
    assert most_in_a_second(world.arrivals) <= ALLOWED


def test_a_partition_that_hides_the_end_of_connections():
    """Guards against connections that look open after the server has restarted."""
    world = proved_world(1)
    world.run(1, 120 * STEP / PROCESSES)
    world.forget()
    for sender in world.senders[:20]:
        for link in world.links[sender.name]:
            link.looks_open = True
    world.restart_server()
    world.run(2, 120 * STEP / PROCESSES)
    assert most_in_a_second(world.arrivals) <= ALLOWED


def make_proofs(*links):
    clock = ManualClock()
    proofs = StartProofs(clock)
    proofs.links = lambda address: links
    return proofs, clock


def test_an_open_connection_proves_only_while_it_is_heard_from():
    clock = ManualClock()
    old = ModelLink(clock.seconds - 10, clock.seconds - LIVE_SECONDS, 1)
    proofs, clock = make_proofs(old)
    proofs.note_running(server(), clock.seconds - 5)
    new = ModelLink(clock.seconds, clock.seconds, 1)
    assert proofs.is_proved(server(), new)
    clock.advance(0.1)
    assert not proofs.is_proved(server(), ModelLink(clock.seconds, clock.seconds, 1))
    assert proofs.is_proved(server(), new)


def test_a_proof_belongs_to_one_start_of_one_server():
    """Guards against proofs of a server whose address is used again by another."""
    proofs, clock = make_proofs()
    proofs.note_running(server(), clock.seconds)
    link = ModelLink(clock.seconds - 1, clock.seconds, 1)
    assert proofs.is_proved(server(), link)
    assert not proofs.is_proved(attrs.evolve(server(), id="other"), link)
    assert not proofs.is_proved(attrs.evolve(server(), born=7), link)


def test_an_entry_after_a_pause_proves_no_more_than_the_one_before():
    """Guards against entries from before an outage of the store."""
    proofs, clock = make_proofs()
    proofs.note_entry(server())
    clock.advance(10)
    proofs.note_entry(server())
    link = ModelLink(clock.seconds - 3, clock.seconds, 1)
    assert not proofs.is_proved(server(), link)
    clock.advance(1)
    proofs.note_entry(server())
    assert proofs.is_proved(server(), link)


def test_an_agent_at_its_engine_before_the_next_report():
    """Guards against items that an agent without open streams sends to a new start."""
    rates, clock = make_rates()
    links = []
    rates.proofs.links = lambda address: links
    rates.directory.set_server(entry())
    confirm(rates, clock, entry())
    links.append(ModelLink(clock.seconds - 1, clock.seconds, 1))
    assert send_all(rates, links, clock, 40) == 40
    # The engine restarts: its connections end, and no report has told it yet.
    for link in links:
        link.closed = True
    clock.advance(0.05)
    assert send_all(rates, links, clock, 40) <= ALLOWED


def send_all(rates, links, clock, count):
    """Return how many of some items are sent, each on a new connection."""
    sent = 0
    for number in range(count):
        link = ModelLink(clock.seconds, clock.seconds, 1)
        check = rates.check(entry(), f"{clock.seconds}-{number}")
        finish(check.prepare(link))
        if check():
            links.append(link)
            sent += 1
        check.settle()
    return sent

"""Agents over one store: running items, handing units over, storing results once."""

import asyncio

import attrs

from gypsumshift.jobs import ResultState
from gypsumshift.jobs.openjob import Candidate
from gypsumshift.jobs.records import AGENTS, END_KEY, JOBS, PARTIALS, RESULTS
from gypsumshift.platforms import Row, Write
from tests.job_builders import MODEL, FakeEngine, JobCluster, server
from tests.system import wait_until


def scenario(test):
    """Run an asynchronous test in a new `JobCluster`, for 20 s at most."""

    def run():
        async def play():
            world = JobCluster()
            try:
                async with asyncio.timeout(20):
                    await test(world)
            finally:
                await world.close()

        asyncio.run(play())

    run.__name__ = test.__name__
    return run


@scenario
async def test_two_agents_generate_score_and_store_each_item_of_a_step_once(world):
    world.agent("a")
    world.agent("b")
    await world.submit(groups=6, size=4)
    results = await world.results()
    assert len({r.item for r in results}) == 24
    first = results[0]
    assert first.text == "\n".join(f"{first.item}:{n}" for n in (1, 2, 3))
    assert first.score == f"signed-r-{first.item}"
    assert first.versions == (1,)


@scenario
async def test_a_broken_stream_resumes_after_its_last_event(world):
    engine = FakeEngine()
    engine.break_at = {"job-0-0": 2}
    world.agent("a", engine)
    await world.submit(groups=1, size=1)
    (result,) = await world.results()
    assert result.text == "job-0-0:1\njob-0-0:2\njob-0-0:3"
    assert engine.started == [("job-0-0", 0), ("job-0-0", 2)]


async def busy_agent(world):
    """Start an agent with two running items; return it and its engine."""
    engine = FakeEngine()
    engine.may_finish.clear()
    agent = world.agent("a", engine)
    await world.submit(groups=1)
    await wait_until(lambda: len(engine.running) == 2)
    return agent, engine


@scenario
async def test_a_unit_started_twice_runs_once_and_stops_when_its_job_ends(world):
    agent, engine = await busy_agent(world)
    ((job_id, key), unit) = next(iter(agent.runner.units.items()))
    again = Candidate(unit.job, unit.job.units[0], unit.claim_version, True)
    agent.runner.start_unit(again, unit.claim_version)
    await world.store.commit([Write(JOBS, END_KEY, {"ended": True}, part=job_id)])
    await wait_until(lambda: not engine.running)
    assert len(engine.started) == 2, "the second start must not run the items again"
    agent.runner.start_unit(again, unit.claim_version)
    assert not agent.runner.units, "no unit of an ended job may start"


@scenario
async def test_units_of_an_engine_that_stops_serving_resume_at_another_agent(world):
    engine = FakeEngine()
    engine.may_finish.clear()
    world.agent("a", engine)
    await world.submit(groups=1)
    await wait_until(lambda: len(engine.running) == 2)
    engine.serves = False
    other = FakeEngine()
    world.agent("b", other)
    results = await world.results()
    assert all(r.state is ResultState.WHOLE for r in results)
    assert sorted(other.started) == [("job-0-0", 2), ("job-0-1", 2)]


@scenario
async def test_an_agent_stops_a_unit_that_another_agent_took_over(world):
    agent, engine = await busy_agent(world)
    row = (await world.store.scan("claims", "", "job"))[0]
    value = {"agent": "b", "session": "other"}
    await world.store.commit([Write("claims", row.key, value, part="job")])
    await wait_until(lambda: not engine.running)
    assert not agent.runner.units


@scenario
async def test_a_draining_agent_gives_its_units_back(world):
    agent, engine = await busy_agent(world)
    await agent.drain()
    assert not engine.running
    world.agent("b", FakeEngine())
    assert len(await world.results()) == 2


@scenario
async def test_an_item_is_given_up_after_all_attempts_of_its_reward_call_failed(world):
    agent = world.agent("a")
    agent.runner.forwarder.statuses = [500] * 4
    await world.submit(groups=1, size=1)
    (result,) = await world.results()
    assert result.state is ResultState.GIVEN_UP
    assert len(agent.runner.forwarder.calls) == 4


@scenario
async def test_a_stored_result_is_not_replaced_by_a_later_run(world):
    await world.submit(groups=1, size=1)
    stored = {"item": "job-0-0", "state": "whole", "text": "first"}
    await world.store.commit([Write(RESULTS, "job-0-0", stored, 0, part="job")])
    agent = world.agent("a")
    await wait_until(
        lambda: (
            agent.tracker.open_jobs
            and not agent.runner.units
            and agent.heartbeat_writer.last_heartbeat.beat
        )
    )
    await asyncio.sleep(0)
    await wait_until(
        lambda: (
            not agent.runner.result_writer.writer_tasks and agent.runner.forwarder.calls
        )
    )
    (result,) = await world.results()
    assert result.text == "first"


@scenario
async def test_a_restarted_engine_is_called_under_its_new_id(world):
    engine = FakeEngine()
    engine.replaced = {"e-a"}
    agent = world.agent("a", engine)
    await world.submit(groups=1)
    await wait_until(lambda: engine.started)
    agent.local_engine.directory.set_server(server("e-new"))
    assert len(await world.results()) == 2
    refused = [s for s in engine.servers if s == "e-a"]
    assert len(refused) <= 2, "the agent must stop calling the old start of the engine"


@scenario
async def test_a_loading_engine_gets_no_new_work_until_it_has_loaded(world):
    engine = FakeEngine()
    engine.busy = True
    agent = world.agent("a", engine)
    agent.local_engine.directory.set_weight_version(MODEL, 3)
    await wait_until(lambda: agent.weights.loading_model == MODEL)
    await world.submit(groups=1)
    await wait_until(lambda: "job" in agent.tracker.open_jobs)
    await agent.claim_units()
    assert not agent.runner.units
    engine.busy = False
    engine.version = 3
    await world.results()


@scenario
async def test_an_engine_that_is_about_to_load_gets_no_new_work(world):
    agent = world.agent("a", FakeEngine())
    await wait_until(lambda: agent.local_engine.versions)
    assert agent.weights.ready_versions() == {MODEL: 1}
    agent.local_engine.directory.set_weight_version(MODEL, 3)
    assert agent.weights.ready_versions() == {}
    agent.local_engine.directory.handle_removed_entry("e-a", 0.0, 100.0)
    assert agent.weights.ready_versions() == {MODEL: 1}


@scenario
async def test_items_that_wait_for_scores_occupy_no_engine_slot(world):
    """With four slots, only four of six items started while scores occupied them."""
    engine = FakeEngine()
    agent = world.agent("a", engine)
    agent.runner.forwarder.may_answer.clear()
    await world.submit(groups=3)
    await wait_until(lambda: len(engine.started) == 6)
    assert agent.runner.slots_used == 0
    agent.runner.forwarder.may_answer.set()
    await world.results()
    assert agent.runner.scoring_count == 0


@scenario
async def test_claiming_stops_at_two_rounds_of_items_that_wait_for_scores(world):
    engine = FakeEngine()
    agent = world.agent("a", engine)
    agent.runner.forwarder.may_answer.clear()
    await world.submit(groups=7)
    await wait_until(lambda: agent.runner.scoring_count == 8)
    await agent.claim_units()
    assert len(engine.started) == 8, "two rounds of four slots wait for scores"
    agent.runner.forwarder.may_answer.set()
    await world.results()


def runs_of(agent):
    return [run for unit in agent.runner.units.values() for run in unit.runs.values()]


async def saved_run(world):
    """Save an unfinished item; return agent, engine and the number of saved events."""
    engine = FakeEngine(length=30)
    engine.may_finish.clear()
    agent = world.agent("a", engine)
    await world.submit(groups=1, size=1)
    await wait_until(lambda: any(run.needs_saving for run in runs_of(agent)))
    await agent.runner.save_partials()
    (saved,) = await world.store.scan(PARTIALS, "", "job")
    return agent, engine, len(saved.value["events"])


@scenario
async def test_the_successor_of_a_dead_agent_resumes_from_saved_events(world):
    _, _, count = await saved_run(world)
    assert count >= 20
    await world.close()
    successor = FakeEngine(length=30)
    world.agent("a", successor)
    (result,) = await world.results()
    assert successor.started == [("job-0-0", count)]
    assert result.text.split("\n") == [f"job-0-0:{n}" for n in range(1, 31)]


@scenario
async def test_saved_events_are_deleted_once_the_result_is_stored(world):
    _, engine, _ = await saved_run(world)
    engine.may_finish.set()
    await world.results()
    assert not await world.store.scan(PARTIALS, "", "job")


@scenario
async def test_a_run_too_large_for_a_row_has_no_partial(world):
    engine = FakeEngine(length=3)
    engine.may_finish.clear()
    agent = world.agent("a", engine)
    await world.submit(groups=1, size=1)
    await wait_until(lambda: engine.running)
    (run,) = runs_of(agent)
    run.events[:] = ["x" * 40_000] * 2
    assert run.make_partial() is None


@scenario
async def test_a_unit_that_raises_an_unexpected_error_is_given_back(world):
    agent = world.agent("a")
    forward = agent.runner.forwarder.forward
    agent.runner.forwarder.forward = None
    await world.submit(groups=1, size=1)
    await wait_until(lambda: agent.runner.releaser.tasks)
    agent.runner.forwarder.forward = forward
    (result,) = await world.results()
    assert result.state is ResultState.WHOLE


@scenario
async def test_a_restarted_agent_keeps_its_engines_model_and_usual_pace(world):
    """The first heartbeat of a restarted agent repeats model and usual pace.

    Without them, half of the engines changed models after a restart.
    """
    value = {"session": "old", "engine": "e-a", "home": MODEL, "usual": 0.05}
    await world.store.commit([Write(AGENTS, "a", value)])
    agent = world.agent("a")
    agent.local_engine.directory.forget_server("e-a")
    await wait_until(lambda: agent.weights.fence)
    row = await world.store.read(AGENTS, "a")
    stored = {key: row.value[key] for key in ("engine", "home", "usual")}
    assert stored == {"engine": "e-a", "home": MODEL, "usual": 0.05}
    agent.local_engine.directory.set_server(server("e-new"))
    await wait_until(lambda: agent.heartbeat_writer.last_heartbeat.engine == "e-new")
    assert agent.heartbeat_writer.last_heartbeat.usual == 0, (
        "the usual pace of another start does not apply"
    )


@scenario
async def test_usual_pace_and_model_are_not_kept_across_engine_restarts(world):
    agent = world.agent("a")
    directory = agent.local_engine.directory
    value = {"session": "old", "engine": "e-a", "born": 1, "home": "x", "usual": 0.05}
    directory.set_server(attrs.evolve(server("e-a"), born=1))
    await wait_until(lambda: agent.weights.fence)
    agent.peers.apply_rows([Row(AGENTS, "a", 9, value)])
    agent.heartbeat_writer.last_heartbeat = agent.peers.last_heartbeat("a")
    assert agent.heartbeat_writer.usual_pace() == 0.05
    directory.set_server(attrs.evolve(server("e-a"), born=2))
    assert agent.heartbeat_writer.usual_pace() == 0
    heartbeat = agent.heartbeat_writer.next_heartbeat()
    assert (heartbeat.born, heartbeat.usual, heartbeat.home) == (2, 0, MODEL)

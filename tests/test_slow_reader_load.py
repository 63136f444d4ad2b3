"""200 slow readers at one gateway, with streams and large answers, and the ablation."""

import asyncio

from tests.slow_reader_load import SlowReaderLoad, p99

MEMORY_MB = 120
SLOW_STREAMS = 100
SLOW_ANSWERS = 100
CALLS = 300


async def measure(folder, without):
    """Return 99th percentiles idle and loaded, peak memory, statuses and messages."""
    load = SlowReaderLoad(MEMORY_MB, without, folder)
    try:
        async with asyncio.timeout(90):
            await load.start()
            idle = await load.measure_callers(CALLS)
            await load.add_slow_readers("/flow/1", SLOW_STREAMS)
            await load.add_slow_readers("/large/1", SLOW_ANSWERS)
            await asyncio.sleep(1.5)
            loaded = await load.measure_callers(CALLS)
            peak = load.peak_memory_mb()
    finally:
        await load.stop()
    messages = [line["message"] for line in load.log_lines()]
    times = [p99([took for _, took in calls]) for calls in (idle, loaded)]
    print(f"p99 idle and loaded {times}, peak {peak:.0f} MB, without {without!r}")
    return *times, peak, {status for status, _ in loaded}, messages


def test_slow_readers_neither_exhaust_the_memory_nor_delay_other_callers(tmp_path):
    """Without the budget, the process is killed with all of its callers."""
    idle, loaded, peak, statuses, messages = asyncio.run(measure(tmp_path, ""))
    assert statuses == {200}
    assert peak <= MEMORY_MB
    assert loaded <= 2 * idle
    exceeded = [text for text in messages if "memory budget is exceeded" in text]
    assert len(exceeded) == 1


def test_without_the_budget_slow_readers_exceed_the_memory(tmp_path):
    """Ablation: the load of the other test needs the budget."""
    *_, peak, _, messages = asyncio.run(measure(tmp_path, "byte_budget"))
    assert peak > MEMORY_MB
    assert not any("memory budget" in text for text in messages)

"""Monitoring of an engine's pace: releases its units and pauses claims if it is faulty.

The agent checks the engine a few times a second. With engine states (policy switch
``engine_states``), the state decides; without, the paces of the peers alone.
"""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.enginestate import (
    EngineObservation,
    EngineStateTracker,
    Verdict,
)
from gypsumshift.jobs.heartbeatwriter import HeartbeatWriter
from gypsumshift.jobs.pace import is_slow
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.metrics import Metrics
from gypsumshift.policy import Policy

__all__ = ["SLOW_PAUSE", "EngineMonitor"]

# Seconds for which a slow engine gets no work, and up to which it then gets one unit at
# a time to be measured again: engines were seen to stay slow for 6 to 8 s.
SLOW_PAUSE = 2.0
SLOW_PROBATION = 4.0

log = logs.logger("agent")


class EngineMonitor:
    """Determines an engine's state, and hands its units over if it is faulty.

    Parameters
    ----------
    heartbeat_writer : HeartbeatWriter
        Knows the usual pace.
    weights : WeightManager
    peers : Peers
    runner : UnitRunner
    clock : Clock
    metrics : Metrics
    policy : Policy

    Attributes
    ----------
    state_tracker : EngineStateTracker
    slow_at : float
        When the engine was last found to be too slow to keep its units, by the
        monotonic clock, in seconds.
    """

    def __init__(
        self,
        heartbeat_writer: HeartbeatWriter,
        weights: WeightManager,
        peers: Peers,
        runner: UnitRunner,
        clock: Clock,
        metrics: Metrics,
        policy: Policy,
    ):
        self.heartbeat_writer = heartbeat_writer
        self.weights = weights
        self.peers = peers
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.policy = policy
        self.state_tracker = EngineStateTracker(clock)
        self.slow_at = float("-inf")

    def reset(self) -> None:
        """Discard the state, once the engine has started again."""
        self.state_tracker.reset()
        self.slow_at = float("-inf")

    def state_name(self) -> str:
        """Return the value of the engine's state; empty if the policy ignores it."""
        return self.state_tracker.state.value if self.policy.engine_states else ""

    def check(self) -> None:
        """Hand all units over if the engine is faulty, or far behind its peers."""
        if self.policy.engine_states:
            self.update_state()
        else:
            self.hand_over_if_slow()

    def is_paused(self, load: int) -> bool:
        """Return whether the engine gets no further work since it was slow.

        Parameters
        ----------
        load : int
            Items that it has or that are being claimed for it.
        """
        since = self.clock.monotonic() - self.slow_at
        return since < SLOW_PAUSE or (since < SLOW_PROBATION and load > 0)

    def hand_over_if_slow(self) -> None:
        """Hand all units over if the engine is far behind its peers."""
        own, peers = self.runner.pace.current(), self.peers.paces()
        if self.weights.loading_model or not is_slow(own, peers):
            return
        if not self.policy.slow_handover:
            return
        logs.event(
            log,
            "The engine is much slower than its peers; releasing all its units.",
            seconds_an_event=round(own, 4),
            peers=[round(pace, 4) for pace in sorted(peers)],
        )
        self.release_and_pause("the engine is slow")

    def update_state(self) -> None:
        """Determine the engine's state; hand all units over if it is faulty."""
        seen = self.observe_engine()
        verdict = self.state_tracker.update(seen)
        if verdict.state is not verdict.previous:
            self.log_state(verdict, seen)
        if verdict.release and self.policy.slow_handover:
            logs.event(
                log,
                "The engine is faulty; releasing all its units.",
                **state_figures(seen),
            )
            self.release_and_pause("the engine is faulty")

    def release_and_pause(self, reason: str) -> None:
        """Hand all units over, and claim none for `SLOW_PAUSE`."""
        self.slow_at = self.clock.monotonic()
        self.runner.pace.clear_gaps()
        self.metrics.count("slow_engine")
        self.runner.hand_over_all(reason)

    def observe_engine(self) -> EngineObservation:
        """Return the figures that determine the engine's state."""
        pace, local_engine = self.runner.pace, self.weights.local_engine
        limits = local_engine.limits
        # `LastingPace` takes a sample when the usual pace is read, and the figures
        # below depend on it.
        usual = self.heartbeat_writer.usual_pace()
        return EngineObservation(
            current=pace.current(),
            usual=usual,
            usual_age=pace.usual_age,
            batch_factor=pace.batch_factor(limits.slots if limits else 0),
            loading=bool(self.weights.loading_model),
            engines=len(local_engine.directory.ready_engines()),
            peers=self.peers.peer_paces(),
            unexplained=pace.unexplained(),
        )

    def log_state(self, verdict: Verdict, seen: EngineObservation) -> None:
        """Log and count a change of the engine's state, with the figures behind it."""
        logs.event(
            log,
            "The state of the engine changed.",
            state=verdict.state.value,
            was=verdict.previous.value,
            why=verdict.reason,
            **state_figures(seen),
        )
        self.metrics.count("engine_states", state=verdict.state.value)


def state_figures(seen: EngineObservation) -> dict:
    """Return the figures of an observation for a log line."""
    return {
        "seconds_an_event": round(seen.current, 4),
        "usual": round(seen.usual, 4),
        "usual_age_s": round(seen.usual_age, 1),
        "batch_factor": round(seen.batch_factor, 2),
        "ratio": round(seen.ratio, 2),
        "unexplained_share": round(seen.unexplained_share, 2),
        "uniform_fleet": seen.is_uniform_fleet,
        "peers_usual": [round(pace, 4) for pace in seen.peer_usuals],
    }

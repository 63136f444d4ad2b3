"""Waits between the attempts of a call: how long, and what ends them."""

import asyncio
import math
from collections.abc import Callable

from gypsumshift.policy import Policy
from gypsumshift.serving.calls import AttemptProgress, Call
from gypsumshift.serving.forwardstate import ForwardState
from gypsumshift.serving.sender import Sender, connect_hedge_s

__all__ = ["HEDGE_SHARE", "AttemptWaits"]

# Share of a route's objective after which a request is also sent to a second server. A
# usual answer takes a quarter of the objective, so half of it leaves enough time.
HEDGE_SHARE = 0.5
# Hedge delay for routes without an objective.
DEFAULT_HEDGE_DELAY_SECONDS = 0.5
# Pause after which servers that refused are asked again while another one does not
# answer; doubled each time.
ASK_AGAIN_SECONDS = 0.25
# Time after which a call without a connection is checked again, while a server of its
# service cannot be reached.
RECHECK_SECONDS = 0.05


class AttemptWaits:
    """Waits for the attempts of calls.

    Parameters
    ----------
    sender : Sender
    get_policy : callable
        Returns the policy in force.
    """

    def __init__(self, sender: Sender, get_policy: Callable[[], Policy]):
        self.reachability = sender.reachability
        self.balancer = sender.balancer
        self.clock = sender.clock
        self.get_policy = get_policy

    def hedge_delay(self, call: Call) -> float:
        """Return the seconds after which a call is also sent to a second server."""
        if not self.get_policy().second_server:
            return math.inf
        objective = call.route.objective
        if objective is None:
            return DEFAULT_HEDGE_DELAY_SECONDS
        return HEDGE_SHARE * objective.total_seconds()

    async def wait_for_running(
        self, state: ForwardState, left: float
    ) -> set[asyncio.Task]:
        """Wait until an attempt has ended while no other may start; return the ended.

        Servers that refused the call may have room before those that run it answer, so
        they are asked again after a pause.
        """
        longest = self.longest_wait(state, left)
        if not state.refused_by or state.exhausted:
            return await self.wait_for_attempts(state, longest)
        now = self.clock.monotonic()
        if state.ask_again_at <= now:
            state.ask_again_at = now + ASK_AGAIN_SECONDS * 2**state.asked_again
            state.asked_again += 1
        pause = state.ask_again_at - now
        done = await self.wait_for_attempts(state, min(longest, pause))
        if not done and self.clock.monotonic() >= state.ask_again_at:
            state.refused_by.clear()
        return done

    def longest_wait(self, state: ForwardState, left: float) -> float:
        """Return the seconds for which a call may wait for its attempts."""
        if state.may_have_run or not self.reachability.unreached:
            return left
        return min(left, RECHECK_SECONDS)

    async def wait_for_hedge(
        self, state: ForwardState, newest: AttemptProgress, delay: float
    ) -> set[asyncio.Task]:
        """Wait until an attempt has ended or the next one is due; return the ended.

        Parameters
        ----------
        state : ForwardState
        newest : AttemptProgress
            Of the attempt that was started last. If it has no connection, the next one
            is due after `connect_hedge_s`.
        delay : float
            Seconds after which the next attempt is due in any case.
        """
        first = min(delay, connect_hedge_s(newest))
        done = await self.wait_for_attempts(state, first)
        unconnected = self.get_policy().second_server and not newest.connected
        if unconnected and not done:
            *_, server = state.running.values()
            self.balancer.record_unconnected(server)
        if done or unconnected:
            return done
        return await self.wait_for_attempts(state, delay - first)

    async def wait_for_attempts(
        self, state: ForwardState, timeout: float
    ) -> set[asyncio.Task]:
        """Wait until an attempt has ended, at most for ``timeout`` seconds."""
        done, _ = await asyncio.wait(
            state.running, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        return done

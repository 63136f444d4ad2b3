"""Clocks: time as an interface, so that tests advance it by hand."""

import abc
import asyncio
import datetime
import time

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Source of time for every decision of the system."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds from an arbitrary start; never goes back."""

    def monotonic_with_suspend(self) -> float:
        """Return seconds from an arbitrary start, those of a suspended host included.

        The monotonic clock may stand still meanwhile, so what others may have done in
        the time that passed is counted by this one.
        """
        return self.monotonic()

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary start; never goes back."""
        return time.monotonic()

    def monotonic_with_suspend(self) -> float:
        """Return seconds, those in which the host was suspended included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        await asyncio.sleep(seconds)

"""Clocks: interface to the current time, so that tests can control it."""

import abc
import asyncio
import datetime
import time

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Source of time for all time-dependent decisions of the system."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return the monotonic time in seconds, from an arbitrary start."""

    def monotonic_with_suspend(self) -> float:
        """Return the monotonic time in seconds, including time suspended.

        The clock of `monotonic` may stand still while the host is suspended. This one
        keeps counting, so use it for timeouts after which other hosts may have acted.
        """
        return self.monotonic()

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds, from an arbitrary start."""
        return time.monotonic()

    def monotonic_with_suspend(self) -> float:
        """Return the time in seconds since boot, including time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        await asyncio.sleep(seconds)

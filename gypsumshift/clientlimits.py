"""Limits of the operator on what clients may send, and how long they may take."""

import datetime

import attrs

__all__ = ["DEFAULT_CLIENT_LIMITS", "ClientLimits"]


@attrs.frozen
class ClientLimits:
    """Limits on the heads of requests and on idle connections.

    Attributes
    ----------
    header_bytes : int
        Maximum size of a request's head.
    header_timeout : timedelta or None
        Longest time from the first byte of a head to its last; None for the same as
        that of idle connections.
    idle_timeout : timedelta or None
        Longest time that a connection may stay open without a request; None for the
        default of the server.
    """

    header_bytes: int = 32 * 1024
    header_timeout: datetime.timedelta | None = None
    idle_timeout: datetime.timedelta | None = None


DEFAULT_CLIENT_LIMITS = ClientLimits()

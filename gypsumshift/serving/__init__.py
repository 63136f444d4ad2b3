"""Forwarding of callers' requests, by route, to the backend servers of services."""

from gypsumshift.serving.calls import Call
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.headers import HeaderNames
from gypsumshift.serving.routes import (
    ColdLimit,
    EngineLimits,
    RequestKind,
    Route,
    RouteTable,
    Service,
    Target,
)
from gypsumshift.serving.serverload import ServerLoad

__all__ = [
    "BackendServer",
    "Call",
    "ColdLimit",
    "Directory",
    "EngineLimits",
    "Forwarder",
    "HeaderNames",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServerLoad",
    "Service",
    "Target",
]

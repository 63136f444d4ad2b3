"""Dialects of backend servers: how each vendor reports state and loads weights."""

import abc
import json

import attrs
from prometheus_client.parser import text_string_to_metric_families

from gypsumshift.wholenumbers import parse_whole_number

__all__ = [
    "DIALECTS",
    "Dialect",
    "WeightLoadOrder",
    "PlainDialect",
    "SglangDialect",
    "BackendState",
    "VllmDialect",
]

FENCING_HEADER = "fencing-number"
JSON_TYPE = ("content-type", "application/json")


@attrs.frozen
class BackendState:
    """State that a backend server reports.

    Attributes
    ----------
    healthy : bool
    running, waiting : int
        Requests by the server's own count, which lags behind.
    version : int or None
        Weight version loaded; None if the server reports none.
    """

    healthy: bool
    running: int = 0
    waiting: int = 0
    version: int | None = None


@attrs.frozen
class WeightLoadOrder:
    """HTTP request that orders a backend server to load a weight version."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


@attrs.frozen
class EventTokens:
    """Token count and weight version in one event of a stream.

    Attributes
    ----------
    tokens : int
        Number of tokens in the event.
    version : int or None
        Weight version that the event reports; None if it reports none.
    """

    tokens: int = 0
    version: int | None = None


class Dialect(abc.ABC):
    """Protocol by which one vendor's servers report state and load weights."""

    state_target = "/health"

    @abc.abstractmethod
    def parse_state(self, status: int, body: bytes) -> BackendState:
        """Parse the answer to ``GET state_target``; if unreadable, it is unhealthy."""

    def weight_load_order(
        self, pool: str, version: int, fence: int
    ) -> WeightLoadOrder | None:
        """Return the order to load a weight version; None if there is no such order."""
        return None

    def read_event_tokens(self, event: dict) -> EventTokens:
        """Return the token count and weight version of one event of a stream."""
        return EventTokens()


def token_count(event: dict) -> int:
    """Return the number of tokens in an event of an OpenAI-compatible stream."""
    choices = event.get("choices") or [{}]
    return len(choices[0].get("token_ids") or [])


def parse_version(text: object) -> int | None:
    """Parse a vendor's weight version, such as 7 or weights-7; None if unreadable."""
    return parse_whole_number(str(text).rpartition("-")[2])


class VllmDialect(Dialect):
    """vLLM: state as Prometheus text, versions in ``system_fingerprint``."""

    state_target = "/metrics"

    def parse_state(self, status, body):
        """Parse the state from the metrics page."""
        if status != 200:
            return BackendState(False)
        values, version = {}, None
        try:
            for family in text_string_to_metric_families(body.decode()):
                for sample in family.samples:
                    values[sample.name] = sample.value
                    if "weight_version" in sample.labels:
                        version = parse_version(sample.labels["weight_version"])
        except ValueError:
            return BackendState(False)
        running = int(values.get("vllm:num_requests_running", 0))
        waiting = int(values.get("vllm:num_requests_waiting", 0))
        return BackendState(True, running, waiting, version)

    def weight_load_order(self, pool, version, fence):
        """Return the order to load a weight version."""
        body = json.dumps({"model": pool, "weight_version": version}).encode()
        headers = [JSON_TYPE, (FENCING_HEADER, str(fence))]
        return WeightLoadOrder("POST", "/reload_weights", headers, body)

    def read_event_tokens(self, event):
        """Return the token count and weight version of one event of a stream."""
        return EventTokens(
            token_count(event), parse_version(event.get("system_fingerprint"))
        )


class SglangDialect(Dialect):
    """SGLang: state as JSON server info, versions in ``metadata.weight_version``."""

    state_target = "/get_server_info"

    def parse_state(self, status, body):
        """Parse the state from the server info."""
        try:
            info = json.loads(body)
            inner = (info.get("internal_states") or [{}])[0]
            running = int(inner.get("num_running_reqs", 0))
            waiting = int(inner.get("num_waiting_reqs", 0))
            version = parse_version(info.get("weight_version"))
        except (ValueError, TypeError, AttributeError, IndexError):
            return BackendState(False)
        return BackendState(status == 200, running, waiting, version)

    def weight_load_order(self, pool, version, fence):
        """Return the order to load a weight version."""
        value = {"model_path": f"{pool}/{version}", "weight_version": str(version)}
        headers = [JSON_TYPE, (FENCING_HEADER, str(fence))]
        body = json.dumps(value).encode()
        return WeightLoadOrder("POST", "/update_weights_from_disk", headers, body)

    def read_event_tokens(self, event):
        """Return the token count and weight version of one event of a stream."""
        metadata = event.get("metadata") or {}
        return EventTokens(
            token_count(event), parse_version(metadata.get("weight_version"))
        )


class PlainDialect(Dialect):
    """Service without weights, with a health page in JSON."""

    def parse_state(self, status, body):
        """Parse the state from the health page; the status alone decides on health."""
        try:
            page = json.loads(body)
            return BackendState(status == 200, int(page.get("running", 0)))
        except (ValueError, TypeError, AttributeError):
            return BackendState(status == 200)


DIALECTS: dict[str, Dialect] = {
    "vllm": VllmDialect(),
    "sglang": SglangDialect(),
    "plain": PlainDialect(),
}

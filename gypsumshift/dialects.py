"""Dialects: how the backend servers of several vendors report and take orders."""

import abc
import json

import attrs
from prometheus_client.parser import text_string_to_metric_families

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
    """What a backend server reports of itself.

    Attributes
    ----------
    healthy : bool
    running, waiting : int
        Requests, by its own lagging count.
    version : int or None
        Weight version loaded; None where it reports none.
    """

    healthy: bool
    running: int = 0
    waiting: int = 0
    version: int | None = None


@attrs.frozen
class WeightLoadOrder:
    """An HTTP request that gives an order to a backend server."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


@attrs.frozen
class EventTokens:
    """What one event of a stream says about tokens.

    Attributes
    ----------
    tokens : int
        Number of tokens in it.
    version : int or None
        Weight version reported along with them.
    """

    tokens: int = 0
    version: int | None = None


class Dialect(abc.ABC):
    """One vendor's way to report state and to take orders."""

    state_target = "/health"

    @abc.abstractmethod
    def parse_state(self, status: int, body: bytes) -> BackendState:
        """Return the state in an answer to ``GET state_target``."""

    def weight_load_order(
        self, pool: str, version: int, fence: int
    ) -> WeightLoadOrder | None:
        """Return the order to load weights; None where it takes none."""
        return None

    def read_event_tokens(self, event: dict) -> EventTokens:
        """Return what one event of a stream says about tokens."""
        return EventTokens()


def token_count(event: dict) -> int:
    """Return the number of tokens in an event of an OpenAI-compatible stream."""
    choices = event.get("choices") or [{}]
    return len(choices[0].get("token_ids") or [])


def parse_version(text: object) -> int | None:
    """Return a weight version as the vendors write it, such as 7 or weights-7."""
    digits = str(text).rpartition("-")[2]
    return int(digits) if digits.isdigit() else None


class VllmDialect(Dialect):
    """State as Prometheus text, versions in ``system_fingerprint``."""

    state_target = "/metrics"

    def parse_state(self, status, body):
        """Return the state on the metrics page."""
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
        """Return the order to load weights."""
        body = json.dumps({"model": pool, "weight_version": version}).encode()
        headers = [JSON_TYPE, (FENCING_HEADER, str(fence))]
        return WeightLoadOrder("POST", "/reload_weights", headers, body)

    def read_event_tokens(self, event):
        """Return what one event of a stream says about tokens."""
        return EventTokens(
            token_count(event), parse_version(event.get("system_fingerprint"))
        )


class SglangDialect(Dialect):
    """State as JSON server info, versions in ``metadata.weight_version``."""

    state_target = "/get_server_info"

    def parse_state(self, status, body):
        """Return the state in the server info."""
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
        """Return the order to load weights."""
        value = {"model_path": f"{pool}/{version}", "weight_version": str(version)}
        headers = [JSON_TYPE, (FENCING_HEADER, str(fence))]
        body = json.dumps(value).encode()
        return WeightLoadOrder("POST", "/update_weights_from_disk", headers, body)

    def read_event_tokens(self, event):
        """Return what one event of a stream says about tokens."""
        metadata = event.get("metadata") or {}
        return EventTokens(
            token_count(event), parse_version(metadata.get("weight_version"))
        )


class PlainDialect(Dialect):
    """A plain service with a health page in JSON."""

    def parse_state(self, status, body):
        """Return the state on the health page."""
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

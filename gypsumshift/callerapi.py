"""HTTP API for callers: requests to models and plain services of a workspace."""

import asyncio
import datetime
import re
import urllib.parse

from gypsumshift.attemptresults import CompleteAnswer, StreamedAnswer
from gypsumshift.dispatch import Dispatcher, PoolRequest
from gypsumshift.generated.declarations import Parameters
from gypsumshift.generated.messages import RequestClass
from gypsumshift.httpserver import Request, Response, ResponseAborted, problem_response
from gypsumshift.idempotency import IdempotentRunner, KeyMismatch, ReplayedAnswer
from gypsumshift.outcomes import NotRun, Unknown
from gypsumshift.peerconnection import PeerConnectionError
from gypsumshift.process import Process

__all__ = ["CallerApi"]

SERVICES_PATH = "/services/"
MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
# Methods that are not idempotent (RFC 9110).
UNREPEATABLE_METHODS = ("POST", "PATCH")
UNREPEATABLE_HEADER = "gypsumshift-unrepeatable"
KEY_HEADER = "idempotency-key"
FRESH_KEY_HEADER = "gypsumshift-fresh-key"
MAX_KEY_LENGTH = 256
# ``wait`` of the Prefer header (RFC 7240) and ``u`` of the Priority header (RFC 9218).
WAIT_PREFERENCE = re.compile(r"(?:^|[,;\s])wait=(\d+(?:\.\d+)?)")
URGENCY_PARAMETER = re.compile(r"(?:^|[,\s])u=([0-7])")
DEFAULT_URGENCY = 3
# From this urgency on a request counts as internal.
INTERNAL_URGENCY = 5
# Time after the deadline of a request with a key in which its outcome is awaited: that
# of an attempt that has ended is still being stored.
OUTCOME_GRACE_S = 0.4
# Requests whose bodies share this prefix share their affinity.
AFFINITY_PREFIX_BYTES = 256
# Header fields that are not passed on to backend servers.
CONSUMED_HEADERS = (KEY_HEADER, FRESH_KEY_HEADER, UNREPEATABLE_HEADER, "prefer")


def matches_route(patterns: list[str], method: str, path: str) -> bool:
    """Return whether a request matches one of the declared routes.

    Parameters
    ----------
    patterns : list of str
        Each a method (or ``*``), a space, and a path in which ``*`` stands for one
        segment.
    method, path : str
    """
    for pattern in patterns:
        wanted, _, route = pattern.partition(" ")
        if wanted not in ("*", method):
            continue
        parts = [
            re.escape(part) if part != "*" else "[^/]+" for part in route.split("/")
        ]
        if re.fullmatch("/".join(parts), path):
            return True
    return False


class CallerApi:
    """Handler of callers' requests.

    Parameters
    ----------
    process : Process
    dispatcher : Dispatcher

    Attributes
    ----------
    waiting_by_workspace : dict of str to int
        Requests in progress here, by workspace.
    """

    def __init__(self, process: Process, dispatcher: Dispatcher):
        self.process = process
        self.clock = process.clock
        self.dispatcher = dispatcher
        self.idempotent_runner = IdempotentRunner(
            process.platform, dispatcher, process.clock
        )
        self.waiting_by_workspace: dict[str, int] = {}

    async def handle_request(
        self, request: Request, workspace: str, rest: str
    ) -> Response:
        """Answer one request to a workspace's model or services, and count it.

        Parameters
        ----------
        request : Request
        workspace : str
        rest : str
            Path after the workspace, with its leading slash.
        """
        parameters = self.process.active_revision.catalog.workspaces[workspace]
        pool_request = self.make_request(request, workspace, rest, parameters)
        if isinstance(pool_request, Response):
            return pool_request
        if pool_request.deadline > self.process.stops_at:
            detail = "this process stops before the request could end"
            return problem_response(503, "not run", detail, retry_after=0.0)
        if self.waiting_by_workspace.get(workspace, 0) >= parameters.waiting:
            detail = (
                f"{workspace} is at its limit of {parameters.waiting} requests here"
            )
            return problem_response(429, "not run", detail, retry_after=1.0)
        self.waiting_by_workspace[workspace] = (
            self.waiting_by_workspace.get(workspace, 0) + 1
        )
        began = self.clock.monotonic()
        outcome = "cancelled"
        try:
            response, outcome = await self.run_request(request, pool_request)
            return response
        finally:
            self.waiting_by_workspace[workspace] -= 1
            self.count_request(pool_request, outcome, self.clock.monotonic() - began)

    def count_request(
        self, pool_request: PoolRequest, outcome: str, duration_s: float
    ) -> None:
        """Record a request's outcome, duration and retries in the metrics."""
        metrics = self.process.metrics
        metrics.count("requests", workspace=pool_request.workspace, outcome=outcome)
        metrics.record_duration(
            "request_duration", duration_s, workspace=pool_request.workspace
        )
        if pool_request.attempts > 1:
            metrics.count(
                "retries", pool_request.attempts - 1, workspace=pool_request.workspace
            )

    def make_request(
        self, request: Request, workspace: str, rest: str, parameters: Parameters
    ) -> PoolRequest | Response:
        """Convert an HTTP request to a pool request; if invalid, return an error."""
        if rest.startswith(SERVICES_PATH):
            service, _, path = rest.removeprefix(SERVICES_PATH).partition("/")
            pool, path = parameters.services.get(service), f"/{path}"
            if pool is None:
                known = ", ".join(parameters.services) or "none"
                detail = f"{workspace} has no service {service!r}; it has: {known}"
                return problem_response(404, "not run", detail)
            repeatable = self.is_repeatable(request, path, parameters)
        elif rest in MODEL_PATHS and parameters.model_pool:
            if request.method != "POST":
                return problem_response(
                    405, "not run", f"{rest} accepts only POST, not {request.method}"
                )
            pool, path = parameters.model_pool, rest
            repeatable = request.header(UNREPEATABLE_HEADER) != "?1"
        else:
            return problem_response(404, "not run", f"{workspace} has no path {rest}")
        if len(request.header(KEY_HEADER)) > MAX_KEY_LENGTH:
            detail = f"the Idempotency-Key exceeds {MAX_KEY_LENGTH} characters"
            return problem_response(400, "not run", detail)
        target = f"{path}?{request.query}" if request.query else path
        urgency_match = URGENCY_PARAMETER.search(request.header("priority"))
        urgency = int(urgency_match[1]) if urgency_match else DEFAULT_URGENCY
        internal = urgency >= INTERNAL_URGENCY
        internal |= matches_route(parameters.internal, request.method, path)
        return PoolRequest(
            workspace=workspace,
            pool=pool,
            method=request.method,
            target=target,
            headers=[(k, v) for k, v in request.headers if k not in CONSUMED_HEADERS],
            body=request.body,
            deadline=self.clock.monotonic() + request_timeout(request, parameters),
            request_class=RequestClass.INTERNAL if internal else RequestClass.CLIENT,
            repeatable=repeatable,
            urgency=urgency,
            share=parameters.share,
            affinity=request_affinity(request) if rest in MODEL_PATHS else "",
            fresh_key=request.header(FRESH_KEY_HEADER) == "?1",
            find_pool=lambda: self.pool_of(workspace, rest),
        )

    def pool_of(self, workspace: str, rest: str) -> str:
        """Return the pool of a path by the revision in force; empty if it has none."""
        parameters = self.process.active_revision.catalog.workspaces.get(workspace)
        if parameters is None:
            return ""
        if rest.startswith(SERVICES_PATH):
            service = rest.removeprefix(SERVICES_PATH).partition("/")[0]
            return parameters.services.get(service, "")
        return parameters.model_pool

    def is_repeatable(
        self, request: Request, path: str, parameters: Parameters
    ) -> bool:
        """Return whether a request to a plain service may run more than once.

        The caller's header takes precedence over the declared routes, and these over
        the method.
        """
        if request.header(UNREPEATABLE_HEADER) == "?1":
            return False
        if matches_route(parameters.unrepeatable, request.method, path):
            return False
        if request.method in UNREPEATABLE_METHODS:
            return matches_route(parameters.repeatable, request.method, path)
        return True

    async def run_request(
        self, request: Request, pool_request: PoolRequest
    ) -> tuple[Response, str]:
        """Dispatch a request; return the response and its outcome for the metrics."""
        key = request.header(KEY_HEADER)
        if key and not pool_request.repeatable:
            # It continues if the caller disconnects, so that the outcome is stored.
            run = self.process.spawn(self.idempotent_runner.run_once(key, pool_request))
            result = await self.await_outcome(run, pool_request)
        else:
            result = await self.dispatcher.send(pool_request)
        if isinstance(result, KeyMismatch):
            detail = "this Idempotency-Key was used before with another request"
            return problem_response(422, "not run", detail), "mismatch"
        if isinstance(result, NotRun):
            seconds = result.retry_after / datetime.timedelta(seconds=1)
            detail = result.reason
            members = {"retry_after": seconds, "attempts": pool_request.attempts}
            return problem_response(503, "not run", detail, **members), "not run"
        if isinstance(result, Unknown):
            members = {"attempts": pool_request.attempts}
            return problem_response(504, "unknown", result.reason, **members), "unknown"
        if isinstance(result, ReplayedAnswer):
            response = self.complete_response(result.whole, pool_request)
            response.headers.append(("idempotency-replayed", "true"))
            return response, "replayed"
        if isinstance(result, CompleteAnswer):
            return self.complete_response(result, pool_request), "answered"
        return self.streamed_response(result, pool_request), "streamed"

    async def await_outcome(self, run: asyncio.Task, pool_request: PoolRequest):
        """Return the outcome of a run that goes on if it takes too long."""
        left = max(pool_request.deadline - self.clock.monotonic(), 0.0)
        try:
            async with asyncio.timeout(left + OUTCOME_GRACE_S):
                return await asyncio.shield(run)
        except TimeoutError:
            return Unknown("the outcome is not known before the deadline")

    def common_headers(
        self, head, backend: str, pool_request: PoolRequest
    ) -> list[tuple[str, str]]:
        """Return the header fields that complete and streamed answers share."""
        headers = [(h.name.decode("latin-1"), h.value.decode("latin-1")) for h in head]
        headers.append(("gypsumshift-outcome", "answered"))
        headers.append(("gypsumshift-backend", backend))
        headers.append(("gypsumshift-attempts", str(pool_request.attempts)))
        return headers

    def complete_response(
        self, answer: CompleteAnswer, pool_request: PoolRequest
    ) -> Response:
        """Convert a complete answer to a response."""
        headers = self.common_headers(answer.head.headers, answer.backend, pool_request)
        headers += version_headers(answer.spans)
        return Response(answer.head.status, headers, answer.body)

    def streamed_response(
        self, streamed: StreamedAnswer, pool_request: PoolRequest
    ) -> Response:
        """Convert a streamed answer to a response with weight versions as a trailer."""
        headers = self.common_headers(
            streamed.head.headers, streamed.backend, pool_request
        )
        headers.append(("trailer", "gypsumshift-weight-versions"))
        body = self.relay_chunks(streamed)
        trailers = lambda: version_headers(streamed.spans)
        return Response(streamed.head.status, headers, body, trailers)

    async def relay_chunks(self, streamed: StreamedAnswer):
        """Yield a stream's chunks; if it breaks, abort the caller's connection."""
        try:
            async for data in streamed.chunks:
                yield data
        except PeerConnectionError as error:
            raise ResponseAborted(str(error)) from error
        finally:
            await streamed.chunks.aclose()


def version_headers(spans) -> list[tuple[str, str]]:
    """Return the header field with the weight versions of an answer, if any."""
    versions = dict.fromkeys(str(span.version) for span in spans)
    if not versions:
        return []
    return [("gypsumshift-weight-versions", ",".join(versions))]


def request_timeout(request: Request, parameters: Parameters) -> float:
    """Return the seconds for a request: the caller's, up to the declared limit."""
    match = WAIT_PREFERENCE.search(request.header("prefer"))
    return min(float(match[1]), parameters.timeout) if match else parameters.timeout


def request_affinity(request: Request) -> str:
    """Return the affinity of a request: the quoted first bytes of its body."""
    text = request.body[:AFFINITY_PREFIX_BYTES].decode("utf-8", "replace")
    return urllib.parse.quote(text)

"""Callers: the HTTP face for requests to models and plain services."""

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

MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
UNREPEATABLE_METHODS = ("POST", "PATCH")
UNREPEATABLE_HEADER = "gypsumshift-unrepeatable"
KEY_HEADER = "idempotency-key"
FRESH_KEY_HEADER = "gypsumshift-fresh-key"
MAX_KEY_LENGTH = 256
WAIT_PREFERENCE = re.compile(r"(?:^|[,;\s])wait=(\d+(?:\.\d+)?)")
URGENCY_PARAMETER = re.compile(r"(?:^|[,\s])u=([0-7])")
DEFAULT_URGENCY = 3
INTERNAL_URGENCY = 5
AFFINITY_PREFIX_BYTES = 256
CONSUMED_HEADERS = (KEY_HEADER, FRESH_KEY_HEADER, UNREPEATABLE_HEADER, "prefer")


def matches_route(patterns: list[str], method: str, path: str) -> bool:
    """Tell whether a request matches one of some declared routes.

    Parameters
    ----------
    patterns : list of str
        Method (or ``*``), blank, and a path in which ``*`` stands for one part.
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
    """Answers callers.

    Parameters
    ----------
    process : Process
    dispatcher : Dispatcher
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
        """Answer one request to a workspace's model or services.

        Parameters
        ----------
        request : Request
        workspace : str
        rest : str
            Path behind the workspace, with its leading slash.
        """
        parameters = self.process.active_revision.catalog.workspaces[workspace]
        job = self.make_request(request, workspace, rest, parameters)
        if isinstance(job, Response):
            return job
        if self.waiting_by_workspace.get(workspace, 0) >= parameters.waiting:
            detail = f"{parameters.waiting} requests of {workspace} wait here already"
            return problem_response(429, "not run", detail, retry_after=1.0)
        self.waiting_by_workspace[workspace] = (
            self.waiting_by_workspace.get(workspace, 0) + 1
        )
        began = self.clock.monotonic()
        outcome = "cancelled"
        try:
            response, outcome = await self.run_request(request, job)
            return response
        finally:
            self.waiting_by_workspace[workspace] -= 1
            self.count_request(job, outcome, self.clock.monotonic() - began)

    def count_request(self, job: PoolRequest, outcome: str, took: float) -> None:
        """Count one request by its outcome."""
        metrics = self.process.metrics
        metrics.count("requests", workspace=job.workspace, outcome=outcome)
        metrics.record_duration("request_duration", took, workspace=job.workspace)
        if job.attempts > 1:
            metrics.count("retries", job.attempts - 1, workspace=job.workspace)

    def make_request(
        self, request: Request, workspace: str, rest: str, parameters: Parameters
    ) -> PoolRequest | Response:
        """Return what a request asks for, or why it cannot be served."""
        if rest.startswith("/services/"):
            service, _, path = rest.removeprefix("/services/").partition("/")
            pool, path = parameters.services.get(service), f"/{path}"
            if pool is None:
                known = ", ".join(parameters.services) or "none"
                detail = f"{workspace} has no service {service!r}; it has: {known}"
                return problem_response(404, "not run", detail)
            repeatable = self.is_repeatable(request, path, parameters)
        elif rest in MODEL_PATHS and parameters.model_pool:
            if request.method != "POST":
                return problem_response(405, "not run", f"{rest} takes POST")
            pool, path = parameters.model_pool, rest
            repeatable = request.header(UNREPEATABLE_HEADER) != "?1"
        else:
            return problem_response(
                404, "not run", f"{workspace} has nothing at {rest}"
            )
        if len(request.header(KEY_HEADER)) > MAX_KEY_LENGTH:
            detail = f"the Idempotency-Key exceeds {MAX_KEY_LENGTH} characters"
            return problem_response(400, "not run", detail)
        target = f"{path}?{request.query}" if request.query else path
        found = URGENCY_PARAMETER.search(request.header("priority"))
        urgency = int(found[1]) if found else DEFAULT_URGENCY
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
        )

    def is_repeatable(
        self, request: Request, path: str, parameters: Parameters
    ) -> bool:
        """Tell whether a request to a plain service may be sent twice."""
        if request.header(UNREPEATABLE_HEADER) == "?1":
            return False
        if matches_route(parameters.unrepeatable, request.method, path):
            return False
        if request.method in UNREPEATABLE_METHODS:
            return matches_route(parameters.repeatable, request.method, path)
        return True

    async def run_request(
        self, request: Request, job: PoolRequest
    ) -> tuple[Response, str]:
        """Run a job; return the answer and its outcome in one word."""
        key = request.header(KEY_HEADER)
        if key and not job.repeatable:
            # It goes on when the caller is gone, so that its key is settled.
            run = self.process.spawn(self.idempotent_runner.run_once(key, job))
            result = await asyncio.shield(run)
        else:
            result = await self.dispatcher.send(job)
        if isinstance(result, KeyMismatch):
            detail = "this Idempotency-Key came before with another request"
            return problem_response(422, "not run", detail), "mismatch"
        if isinstance(result, NotRun):
            seconds = result.retry_after / datetime.timedelta(seconds=1)
            detail = result.reason
            members = {"retry_after": seconds, "attempts": job.attempts}
            return problem_response(503, "not run", detail, **members), "not run"
        if isinstance(result, Unknown):
            members = {"attempts": job.attempts}
            return problem_response(504, "unknown", result.reason, **members), "unknown"
        if isinstance(result, ReplayedAnswer):
            response = self.complete_response(result.whole, job)
            response.headers.append(("idempotency-replayed", "true"))
            return response, "replayed"
        if isinstance(result, CompleteAnswer):
            return self.complete_response(result, job), "answered"
        return self.streamed_response(result, job), "streamed"

    def common_headers(
        self, head, backend: str, job: PoolRequest
    ) -> list[tuple[str, str]]:
        """Return the header fields of an answer."""
        headers = [(h.name.decode("latin-1"), h.value.decode("latin-1")) for h in head]
        headers.append(("gypsumshift-outcome", "answered"))
        headers.append(("gypsumshift-backend", backend))
        headers.append(("gypsumshift-attempts", str(job.attempts)))
        return headers

    def complete_response(self, whole: CompleteAnswer, job: PoolRequest) -> Response:
        """Return a whole answer."""
        headers = self.common_headers(whole.head.headers, whole.backend, job)
        headers += version_headers(whole.spans)
        return Response(whole.head.status, headers, whole.body)

    def streamed_response(self, streamed: StreamedAnswer, job: PoolRequest) -> Response:
        """Return a streamed answer, with its weight versions as a trailer."""
        headers = self.common_headers(streamed.head.headers, streamed.backend, job)
        headers.append(("trailer", "gypsumshift-weight-versions"))
        body = self.relay_chunks(streamed)
        trailers = lambda: version_headers(streamed.spans)
        return Response(streamed.head.status, headers, body, trailers)

    async def relay_chunks(self, streamed: StreamedAnswer):
        """Yield a stream's chunks; a broken one cuts the caller's connection."""
        try:
            async for data in streamed.chunks:
                yield data
        except PeerConnectionError as error:
            raise ResponseAborted(str(error)) from error
        finally:
            await streamed.chunks.aclose()


def version_headers(spans) -> list[tuple[str, str]]:
    """Return the header field that names the weight versions of an answer."""
    versions = dict.fromkeys(str(span.version) for span in spans)
    if not versions:
        return []
    return [("gypsumshift-weight-versions", ",".join(versions))]


def request_timeout(request: Request, parameters: Parameters) -> float:
    """Return the seconds for a request: the caller's (RFC 7240), up to the declared."""
    found = WAIT_PREFERENCE.search(request.header("prefer"))
    return min(float(found[1]), parameters.timeout) if found else parameters.timeout


def request_affinity(request: Request) -> str:
    """Return the text that requests with the same prompt prefix share."""
    text = request.body[:AFFINITY_PREFIX_BYTES].decode("utf-8", "replace")
    return urllib.parse.quote(text)

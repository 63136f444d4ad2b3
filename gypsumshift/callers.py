"""Callers: the HTTP face for requests to models and plain services."""

import asyncio
import datetime
import re
import urllib.parse

from gypsumshift.answers import Streamed, Whole
from gypsumshift.dispatch import Dispatcher, Job
from gypsumshift.generated.declarations import Parameters
from gypsumshift.generated.messages import RequestClass
from gypsumshift.httpserver import Request, Response, ResponseAborted, problem_response
from gypsumshift.idempotency import IdempotentRunner, KeyMismatch, ReplayedAnswer
from gypsumshift.links import LinkError
from gypsumshift.outcomes import NotRun, Unknown
from gypsumshift.process import Process

__all__ = ["Callers"]

MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
UNREPEATABLE_METHODS = ("POST", "PATCH")
UNREPEATABLE_HEADER = "gypsumshift-unrepeatable"
KEY_HEADER = "idempotency-key"
FRESH_HEADER = "gypsumshift-fresh-key"
KEY_LIMIT = 256
WAIT = re.compile(r"(?:^|[,;\s])wait=(\d+(?:\.\d+)?)")
URGENCY = re.compile(r"(?:^|[,\s])u=([0-7])")
DEFAULT_URGENCY = 3
INTERNAL_URGENCY = 5
AFFINITY_LENGTH = 256
PASSED_OFF = (KEY_HEADER, FRESH_HEADER, UNREPEATABLE_HEADER, "prefer")


def matches(patterns: list[str], method: str, path: str) -> bool:
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


class Callers:
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
        self.waiting: dict[str, int] = {}

    async def serve(self, request: Request, workspace: str, rest: str) -> Response:
        """Answer one request to a workspace's model or services.

        Parameters
        ----------
        request : Request
        workspace : str
        rest : str
            Path behind the workspace, with its leading slash.
        """
        parameters = self.process.active_revision.catalog.workspaces[workspace]
        job = self.job(request, workspace, rest, parameters)
        if isinstance(job, Response):
            return job
        if self.waiting.get(workspace, 0) >= parameters.waiting:
            detail = f"{parameters.waiting} requests of {workspace} wait here already"
            return problem_response(429, "not run", detail, retry_after=1.0)
        self.waiting[workspace] = self.waiting.get(workspace, 0) + 1
        began = self.clock.monotonic()
        outcome = "cancelled"
        try:
            response, outcome = await self.answer(request, job)
            return response
        finally:
            self.waiting[workspace] -= 1
            self.count(job, outcome, self.clock.monotonic() - began)

    def count(self, job: Job, outcome: str, took: float) -> None:
        """Count one request by its outcome."""
        metrics = self.process.metrics
        metrics.count("requests", workspace=job.workspace, outcome=outcome)
        metrics.record_duration("request_duration", took, workspace=job.workspace)
        if job.attempts > 1:
            metrics.count("retries", job.attempts - 1, workspace=job.workspace)

    def job(
        self, request: Request, workspace: str, rest: str, parameters: Parameters
    ) -> Job | Response:
        """Return what a request asks for, or why it cannot be served."""
        if rest.startswith("/services/"):
            service, _, path = rest.removeprefix("/services/").partition("/")
            pool, path = parameters.services.get(service), f"/{path}"
            if pool is None:
                known = ", ".join(parameters.services) or "none"
                detail = f"{workspace} has no service {service!r}; it has: {known}"
                return problem_response(404, "not run", detail)
            repeatable = self.may_repeat(request, path, parameters)
        elif rest in MODEL_PATHS and parameters.model_pool:
            if request.method != "POST":
                return problem_response(405, "not run", f"{rest} takes POST")
            pool, path = parameters.model_pool, rest
            repeatable = request.header(UNREPEATABLE_HEADER) != "?1"
        else:
            return problem_response(
                404, "not run", f"{workspace} has nothing at {rest}"
            )
        if len(request.header(KEY_HEADER)) > KEY_LIMIT:
            detail = f"the Idempotency-Key exceeds {KEY_LIMIT} characters"
            return problem_response(400, "not run", detail)
        target = f"{path}?{request.query}" if request.query else path
        found = URGENCY.search(request.header("priority"))
        urgency = int(found[1]) if found else DEFAULT_URGENCY
        internal = urgency >= INTERNAL_URGENCY
        internal |= matches(parameters.internal, request.method, path)
        return Job(
            workspace=workspace,
            pool=pool,
            method=request.method,
            target=target,
            headers=[(k, v) for k, v in request.headers if k not in PASSED_OFF],
            body=request.body,
            deadline=self.clock.monotonic() + timeout_of(request, parameters),
            request_class=RequestClass.INTERNAL if internal else RequestClass.CLIENT,
            repeatable=repeatable,
            urgency=urgency,
            share=parameters.share,
            affinity=affinity_of(request) if rest in MODEL_PATHS else "",
            fresh_key=request.header(FRESH_HEADER) == "?1",
        )

    def may_repeat(self, request: Request, path: str, parameters: Parameters) -> bool:
        """Tell whether a request to a plain service may be sent twice."""
        if request.header(UNREPEATABLE_HEADER) == "?1":
            return False
        if matches(parameters.unrepeatable, request.method, path):
            return False
        if request.method in UNREPEATABLE_METHODS:
            return matches(parameters.repeatable, request.method, path)
        return True

    async def answer(self, request: Request, job: Job) -> tuple[Response, str]:
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
            response = self.whole(result.whole, job)
            response.headers.append(("idempotency-replayed", "true"))
            return response, "replayed"
        if isinstance(result, Whole):
            return self.whole(result, job), "answered"
        return self.streamed(result, job), "streamed"

    def common_headers(self, head, backend: str, job: Job) -> list[tuple[str, str]]:
        """Return the header fields of an answer."""
        headers = [(h.name.decode("latin-1"), h.value.decode("latin-1")) for h in head]
        headers.append(("gypsumshift-outcome", "answered"))
        headers.append(("gypsumshift-backend", backend))
        headers.append(("gypsumshift-attempts", str(job.attempts)))
        return headers

    def whole(self, whole: Whole, job: Job) -> Response:
        """Return a whole answer."""
        headers = self.common_headers(whole.head.headers, whole.backend, job)
        headers += version_headers(whole.spans)
        return Response(whole.head.status, headers, whole.body)

    def streamed(self, streamed: Streamed, job: Job) -> Response:
        """Return a streamed answer, with its weight versions as a trailer."""
        headers = self.common_headers(streamed.head.headers, streamed.backend, job)
        headers.append(("trailer", "gypsumshift-weight-versions"))
        body = self.chunks(streamed)
        trailers = lambda: version_headers(streamed.spans)
        return Response(streamed.head.status, headers, body, trailers)

    async def chunks(self, streamed: Streamed):
        """Yield a stream's chunks; a broken one cuts the caller's connection."""
        try:
            async for data in streamed.chunks:
                yield data
        except LinkError as error:
            raise ResponseAborted(str(error)) from error
        finally:
            await streamed.chunks.aclose()


def version_headers(spans) -> list[tuple[str, str]]:
    """Return the header field that names the weight versions of an answer."""
    versions = dict.fromkeys(str(span.version) for span in spans)
    if not versions:
        return []
    return [("gypsumshift-weight-versions", ",".join(versions))]


def timeout_of(request: Request, parameters: Parameters) -> float:
    """Return the seconds for a request: the caller's (RFC 7240), up to the declared."""
    found = WAIT.search(request.header("prefer"))
    return min(float(found[1]), parameters.timeout) if found else parameters.timeout


def affinity_of(request: Request) -> str:
    """Return the text that requests with the same prompt prefix share."""
    text = request.body[:AFFINITY_LENGTH].decode("utf-8", "replace")
    return urllib.parse.quote(text)

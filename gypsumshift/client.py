"""Python client for callers and trainers, which uses any of several entries."""

import asyncio
import datetime
import json
import secrets
import urllib.parse
from collections.abc import AsyncIterator, Iterator

import attrs
import cattrs

from gypsumshift.groups import Group, Sample
from gypsumshift.httpclient import FetchedResponse, Fetcher, FetchError
from gypsumshift.outcomes import Answered, NotRun, Outcome, Unknown

__all__ = [
    "AsyncClient",
    "AsyncTrainer",
    "Client",
    "Delivery",
    "RequestRejected",
    "Trainer",
    "call",
]

DEFAULT_TIMEOUT_S = 30.0
STEP_WAIT_S = 20.0
RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 5.0
UNSENT_RETRY_AFTER = datetime.timedelta(seconds=RETRY_PAUSE_S)
UNSAFE_METHODS = ("POST", "PATCH")
JSON_TYPE = ("content-type", "application/json")


class RequestRejected(Exception):
    """An entry rejected a trainer's request permanently; the text is its response."""


@attrs.frozen
class Delivery:
    """Samples of a completed training step.

    Attributes
    ----------
    number : int
        Number of the step, starting at 1.
    version : int
        Weight version of the trainer that staleness was checked against.
    samples : list of Sample
    """

    number: int
    version: int
    samples: list[Sample]


def split_urls(urls: str | list[str]) -> tuple[list[tuple[str, int]], str]:
    """Return the addresses in the URLs of entries, and the path of the first URL."""
    parts = [
        urllib.parse.urlsplit(url)
        for url in ([urls] if isinstance(urls, str) else urls)
    ]
    addresses = [(part.hostname, part.port or 80) for part in parts]
    return addresses, parts[0].path.rstrip("/")


class AsyncClient:
    """Asynchronous client that calls models and services through several entries.

    Parameters
    ----------
    urls : str or list of str
        URLs of the entries, with the workspace as their path.
    timeout : float, default=30
        Seconds after which a call returns an outcome at the latest.
    workspace_key : str, optional
        Key of the workspace, if the workspace requires one.
    """

    def __init__(
        self,
        urls: str | list[str],
        timeout: float = DEFAULT_TIMEOUT_S,
        workspace_key: str = "",
    ):
        self.workspace_key = workspace_key
        self.addresses, self.path = split_urls(urls)
        self.timeout = timeout
        self.fetcher = Fetcher()
        self.entry_index = 0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self.fetcher.close_idle()

    def next_address(self) -> tuple[str, int]:
        """Return the address of the entry for the next request."""
        return self.addresses[self.entry_index % len(self.addresses)]

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        headers: dict[str, str] | None = None,
        key: str | None = None,
        unrepeatable: bool = False,
        timeout: float | None = None,
    ) -> Outcome:
        """Call a model or service, with retries until the timeout; return the outcome.

        Parameters
        ----------
        method, path : str
            HTTP method, and path relative to the workspace.
        body : bytes or JSON value, optional
        headers : dict, optional
        key : str, optional
            Idempotency key. By default a key is generated for POST, PATCH and
            unrepeatable requests, so that they can be retried safely.
        unrepeatable : bool, default=False
            Whether the request must not run twice.
        timeout : float, optional
            Seconds after which an outcome is returned at the latest; default: the
            client's timeout.

        Returns
        -------
        Answered, NotRun or Unknown
        """
        timeout = timeout or self.timeout
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        data, fields = encode_body(body)
        fields += list((headers or {}).items())
        if self.workspace_key:
            fields.append(("authorization", f"Bearer {self.workspace_key}"))
        has_key = key or any(name.lower() == "idempotency-key" for name, _ in fields)
        generates_key = not has_key and (unrepeatable or method in UNSAFE_METHODS)
        if generates_key:
            key = secrets.token_hex(16)
        if key:
            fields.append(("idempotency-key", key))
        if unrepeatable:
            fields.append(("gypsumshift-unrepeatable", "?1"))
        outcome: Outcome = NotRun(
            f"the request was not sent within its timeout of {timeout:g} s",
            UNSENT_RETRY_AFTER,
        )
        last_unknown: Unknown | None = None
        # A generated key is fresh while no attempt that used it can have run.
        key_is_fresh = generates_key
        while (remaining := deadline - loop.time()) > 0:
            attempt_fields = [*fields, ("prefer", f"wait={remaining:.3f}")]
            attempt_fields += [("gypsumshift-fresh-key", "?1")] if key_is_fresh else []
            outcome = await self.call_once(
                method, path, attempt_fields, data, remaining
            )
            key_is_fresh = key_is_fresh and isinstance(outcome, NotRun)
            if isinstance(outcome, Answered):
                return outcome
            if isinstance(outcome, Unknown):
                last_unknown = outcome
            pause = RETRY_PAUSE_S
            if isinstance(outcome, NotRun):
                pause = outcome.retry_after.total_seconds()
            if loop.time() + pause >= deadline:
                break
            await asyncio.sleep(pause)
        return last_unknown or outcome

    async def call_once(self, method, path, headers, data, timeout) -> Outcome:
        """Send one attempt to the current entry; select the next entry on failure."""
        try:
            answer = await self.fetcher.fetch(
                self.next_address(), method, self.path + path, headers, data, timeout
            )
        except FetchError as error:
            self.entry_index += 1
            return (
                Unknown(str(error))
                if error.sent
                else NotRun(str(error), UNSENT_RETRY_AFTER)
            )
        return read_outcome(answer)


def encode_body(body: object) -> tuple[bytes, list[tuple[str, str]]]:
    """Encode a body; return its bytes and the header fields that describe it."""
    if body is None:
        return b"", []
    if isinstance(body, bytes):
        return body, []
    return json.dumps(body).encode(), [JSON_TYPE]


def read_outcome(answer: FetchedResponse) -> Outcome:
    """Return the outcome that an entry's response describes."""
    headers = tuple((k.decode(), v.decode("latin-1")) for k, v in answer.headers)
    answered = Answered(answer.status, headers, answer.body)
    if answered.header("content-type") != "application/problem+json":
        return answered
    try:
        value = json.loads(answer.body)
    except ValueError:
        return Unknown(
            f"the entry's problem document (status {answer.status}) is not valid JSON"
        )
    if value.get("outcome") == "not run" and answer.status in (429, 503):
        seconds = float(value.get("retry_after", RETRY_PAUSE_S))
        return NotRun(value.get("detail", ""), datetime.timedelta(seconds=seconds))
    if value.get("outcome") == "unknown":
        return Unknown(value.get("detail", ""))
    return answered


class AsyncTrainer:
    """Asynchronous client for a trainer, through any of several entries.

    Parameters
    ----------
    urls : str or list of str
        URLs of the trainer at the entries, such as
        ``http://10.0.0.1:8000/clinics/trainers/scheduling-trainer``.
    version : int, default=0
        Weight version that the trainer trains on; `publish` raises it.
    workspace_key : str, optional
        Key of the workspace, if the workspace requires one.
    """

    def __init__(
        self, urls: str | list[str], version: int = 0, workspace_key: str = ""
    ):
        self.client = AsyncClient(urls, workspace_key=workspace_key)
        self.version = version

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.client.__aexit__(*exc_info)

    async def request_until_answered(
        self, method: str, path: str, body: object = None
    ) -> dict:
        """Repeat a request until an entry answers; return the JSON body.

        All requests of a trainer are safe to repeat.
        """
        pause = RETRY_PAUSE_S
        while True:
            outcome = await self.client.call(method, path, body)
            if isinstance(outcome, Answered):
                if outcome.status >= 400:
                    raise RequestRejected(outcome.body.decode("utf-8", "replace"))
                return json.loads(outcome.body)
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRY_PAUSE_S)

    async def submit(self, groups: list[Group]) -> int:
        """Submit groups; return how many were new.

        A group whose id was submitted at any time before is not accepted again.
        """
        fields = ("id", "prompt", "samples", "max_tokens", "temperature")
        value = [{name: getattr(group, name) for name in fields} for group in groups]
        answer = await self.request_until_answered("POST", "/groups", value)
        return answer["accepted"]

    async def step(self, number: int) -> Delivery:
        """Wait until a step is complete, and return it.

        Repeated calls with the same number return the same samples.
        """
        query = f"?version={self.version}&wait={STEP_WAIT_S}"
        answer = await self.request_until_answered("GET", f"/steps/{number}{query}")
        samples = cattrs.structure(answer["samples"], list[Sample])
        return Delivery(answer["step"], answer["version"], samples)

    async def steps(self, start: int | None = None) -> AsyncIterator[Delivery]:
        """Yield steps in order, each once it is complete.

        Parameters
        ----------
        start : int, optional
            Number of the first step. By default this is the last sealed step, which
            is thus delivered again. A trainer that resumes from a checkpoint passes
            the number after the last step that the checkpoint contains.
        """
        if start is None:
            start = max(1, (await self.request_until_answered("GET", ""))["sealed"])
        while True:
            yield await self.step(start)
            start += 1

    async def publish(self, version: int, data: bytes) -> None:
        """Publish the weights of a version, and use that version for later steps."""
        await self.request_until_answered("PUT", f"/weights/{version}", data)
        self.version = max(self.version, version)


class BlockingWrapper:
    """Runs the methods of an asynchronous client on its own event loop."""

    def __init__(self, inner):
        self.inner = inner
        self.runner = asyncio.Runner()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.runner.run(self.inner.__aexit__(*exc_info))
        self.runner.close()


class Client(BlockingWrapper):
    """Blocking client that calls models and services; see `AsyncClient`."""

    def __init__(
        self,
        urls: str | list[str],
        timeout: float = DEFAULT_TIMEOUT_S,
        workspace_key: str = "",
    ):
        super().__init__(AsyncClient(urls, timeout, workspace_key))

    def call(self, method: str, path: str, body: object = None, **options) -> Outcome:
        """Call a model or service; see `AsyncClient.call`."""
        return self.runner.run(self.inner.call(method, path, body, **options))


class Trainer(BlockingWrapper):
    """Blocking client for a trainer; see `AsyncTrainer`."""

    def __init__(
        self, urls: str | list[str], version: int = 0, workspace_key: str = ""
    ):
        super().__init__(AsyncTrainer(urls, version, workspace_key))

    @property
    def version(self) -> int:
        """Weight version that the trainer trains on."""
        return self.inner.version

    def submit(self, groups: list[Group]) -> int:
        """Submit groups; return how many were new; see `AsyncTrainer.submit`."""
        return self.runner.run(self.inner.submit(groups))

    def step(self, number: int) -> Delivery:
        """Wait until a step is complete, and return it; see `AsyncTrainer.step`."""
        return self.runner.run(self.inner.step(number))

    def steps(self, start: int | None = None) -> Iterator[Delivery]:
        """Yield steps in order; see `AsyncTrainer.steps`."""
        steps = self.inner.steps(start)
        while True:
            yield self.runner.run(anext(steps))

    def publish(self, version: int, data: bytes) -> None:
        """Publish the weights of a version, and use that version for later steps."""
        self.runner.run(self.inner.publish(version, data))


def call(url: str, method: str = "GET", body: object = None, **options) -> Outcome:
    """Call a model or service at a full URL, with retries; see `AsyncClient.call`.

    Parameters
    ----------
    url : str
        URL of an entry, with workspace and path.
    method : str, default='GET'
    body : bytes or JSON value, optional
    **options
        Keyword arguments of `AsyncClient.call`.

    Returns
    -------
    Answered, NotRun or Unknown
    """
    parts = urllib.parse.urlsplit(url)
    path = f"?{parts.query}" if parts.query else ""
    with Client(url.partition("?")[0]) as client:
        return client.call(method, path, body, **options)

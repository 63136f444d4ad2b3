"""HTTP API for operators: declarations, status, drains, weights and timeline."""

import asyncio
import hmac
import json
import secrets

import attrs

from gypsumshift import declarations
from gypsumshift.bearer import bearer_token, unauthorized
from gypsumshift.events import merge_events
from gypsumshift.generated import messages
from gypsumshift.generated.messages import Body, Role
from gypsumshift.httpserver import Request, Response, json_response, problem_response
from gypsumshift.outcomes import (
    Committed,
    Conflict,
    Invalid,
    Missing,
    Unavailable,
    Unknown,
)
from gypsumshift.peerconnection import PeerConnectionError
from gypsumshift.platforms import Write
from gypsumshift.poller import LEAVING_PREFIX, WEIGHTS_PREFIX
from gypsumshift.process import Process
from gypsumshift.revisions import HEADS_TABLE, AcceptedRevision
from gypsumshift.settings import operator_token
from gypsumshift.weightpublisher import WeightPublisher

__all__ = ["OperatorApi", "diff_declarations"]

QUERY_TIMEOUT_S = 2.0
CONCURRENT_QUERIES = 64
MAX_EVENTS = 500
DRAIN_DEADLINE_MS = 30_000
OPEN_PATHS = ("/metrics", "/health")


def diff_declarations(old: dict, new: dict) -> list[str]:
    """Return the changes between two revisions' declarations, one line for each.

    Lines begin with ``+`` (added), ``-`` (removed) or ``~`` (changed, with the field).
    """
    lines = []
    for zone in sorted(set(new.get("zones", [])) ^ set(old.get("zones", []))):
        sign = "+" if zone in new.get("zones", []) else "-"
        lines.append(f"{sign} zone {zone}")
    for section in declarations.SECTIONS:
        before = {item["name"]: item for item in old.get(section, [])}
        after = {item["name"]: item for item in new.get(section, [])}
        for name in sorted(before.keys() | after.keys()):
            kind = section.removesuffix("s")
            if name not in before:
                lines.append(f"+ {kind} {name}")
            elif name not in after:
                lines.append(f"- {kind} {name}")
            else:
                changes = changed_fields(before[name], after[name])
                lines += [f"~ {kind} {name}: {change}" for change in changes]
    return lines


def changed_fields(old: dict, new: dict, path: str = "") -> list[str]:
    """Return a line for each field that differs between two versions of an object."""
    lines = []
    for key in sorted(old.keys() | new.keys()):
        before, after = old.get(key), new.get(key)
        if before == after:
            continue
        if isinstance(before, dict) and isinstance(after, dict):
            lines += changed_fields(before, after, f"{path}{key}.")
        else:
            left = "unset" if before is None else json.dumps(before)
            right = "unset" if after is None else json.dumps(after)
            lines.append(f"{path}{key} {left} -> {right}")
    return lines


class OperatorApi:
    """Answers the HTTP requests of operators; each entry has one.

    Parameters
    ----------
    process : Process
        The entry.
    """

    def __init__(self, process: Process):
        self.process = process
        self.revision_history = process.revision_history
        self.tables = process.platform.tables
        self.publisher = WeightPublisher(process)
        self.token = operator_token(process.settings)

    async def serve(self, request: Request) -> Response | None:
        """Answer a request; return None if this API does not have the path."""
        if request.path not in OPEN_PATHS and not self.is_authorized(request):
            detail = "operator requests need the bearer token of this entry's settings"
            return unauthorized(detail)
        method, path = request.method, request.path
        handlers = {
            ("GET", "/v1/revisions"): self.list_revisions,
            ("POST", "/v1/plan"): self.plan,
            ("POST", "/v1/apply"): self.apply,
            ("GET", "/v1/status"): self.show_status,
            ("GET", "/v1/timeline"): self.show_timeline,
            ("POST", "/v1/drain"): self.drain,
            ("DELETE", "/v1/drain"): self.undo_drain,
            ("GET", "/v1/weights"): self.show_weights,
            ("PUT", "/v1/weights"): self.publish_weights,
        }
        if (method, path) in handlers:
            return await handlers[method, path](request)
        if method == "GET" and path.startswith("/v1/revisions/"):
            return await self.show_revision(path.rpartition("/")[2])
        return None

    def is_authorized(self, request: Request) -> bool:
        """Return whether a request carries the operator token, if one is configured."""
        if not self.token:
            return True
        return hmac.compare_digest(bearer_token(request).encode(), self.token.encode())

    # Declarations

    async def list_revisions(self, request: Request) -> Response:
        """List all accepted revisions, without their declarations."""
        found = await self.revision_history.read_all()
        if isinstance(found, Unavailable):
            return platform_error_response(found)
        rows = [attrs.asdict(accepted) for accepted in found]
        for row in rows:
            del row["declarations"], row["token"]
        return json_response(200, rows)

    async def show_revision(self, text: str) -> Response:
        """Show the revision with a number, or the newest one for ``newest``."""
        number = (
            await self.revision_history.read_newest_number()
            if text == "newest"
            else text
        )
        if isinstance(number, Unavailable):
            return platform_error_response(number)
        if not str(number).isdigit():
            return problem_response(400, "not run", f"not a revision number: {text!r}")
        found = await self.revision_history.read_revision(int(number))
        if isinstance(found, Unavailable):
            return platform_error_response(found)
        if isinstance(found, Missing):
            return problem_response(404, "not run", f"there is no revision {number}")
        return json_response(200, attrs.asdict(found))

    async def read_newest(self) -> AcceptedRevision | Unavailable:
        """Return the newest accepted revision."""
        number = await self.revision_history.read_newest_number()
        if isinstance(number, Unavailable):
            return number
        found = await self.revision_history.read_revision(number)
        return (
            Unavailable(f"the store has no row for revision {number}")
            if isinstance(found, Missing)
            else found
        )

    def read_body(self, request: Request) -> dict | Response:
        """Return the JSON object in a request's body, or the error response."""
        try:
            value = json.loads(request.body)
        except ValueError as error:
            return problem_response(400, "not run", f"the body is not JSON: {error}")
        if not isinstance(value, dict) or "declarations" not in value:
            return problem_response(
                422, "not run", "the body is not a JSON object with 'declarations'"
            )
        return value

    async def plan(self, request: Request) -> Response:
        """Check declarations, and show how they differ from the newest revision."""
        value = self.read_body(request)
        if isinstance(value, Response):
            return value
        catalog = declarations.parse(value["declarations"], "declarations")
        if isinstance(catalog, Invalid):
            return invalid_response(catalog)
        newest = await self.read_newest()
        if isinstance(newest, Unavailable):
            return platform_error_response(newest)
        lines = diff_declarations(newest.declarations, catalog.source)
        return json_response(200, {"base": newest.number, "difference": lines})

    async def apply(self, request: Request) -> Response:
        """Accept declarations as the next revision if their base is the newest one."""
        value = self.read_body(request)
        if isinstance(value, Response):
            return value
        base = value.get("base")
        if not isinstance(base, int) or base < 0:
            return problem_response(
                422,
                "not run",
                f"base is {base!r}; it must be the number of the planned revision",
            )
        catalog = declarations.parse(value["declarations"], "declarations")
        if isinstance(catalog, Invalid):
            return invalid_response(catalog)
        outcome = await self.revision_history.apply(
            base,
            catalog.source,
            str(value.get("author", "")),
            str(value.get("message", "")),
            str(value.get("token") or secrets.token_hex(16)),
        )
        if isinstance(outcome, AcceptedRevision):
            text = json.dumps(outcome.declarations)
            subject = f"revision-{outcome.number}"
            self.process.recorder.record("accepted", subject, outcome.author)
            self.process.adopt_revision(outcome.number, text)
            return json_response(200, {"number": outcome.number})
        if isinstance(outcome, Conflict):
            return await self.conflict_response(base, outcome)
        if isinstance(outcome, Unknown):
            return problem_response(504, "unknown", outcome.reason, retry_after=1.0)
        return platform_error_response(outcome)

    async def conflict_response(self, base: int, outcome: Conflict) -> Response:
        """Return the response to an apply whose base is not the newest revision.

        It contains the changes made since the base.
        """
        old, new = await asyncio.gather(
            self.revision_history.read_revision(base), self.read_newest()
        )
        lines = []
        if isinstance(old, AcceptedRevision) and isinstance(new, AcceptedRevision):
            lines = diff_declarations(old.declarations, new.declarations)
        detail = f"planned on revision {base}, but {outcome.detail}"
        return problem_response(409, "not run", detail, difference=lines)

    # Processes

    async def query_all_processes(self, query: Body) -> dict[str, Body | None]:
        """Send a query to all known processes; return None for those without answer."""
        slots = asyncio.Semaphore(CONCURRENT_QUERIES)

        async def query_peer(peer) -> Body | None:
            async with slots:
                try:
                    connection = self.process.connection(peer.address)
                    return await connection.call(query, QUERY_TIMEOUT_S)
                except PeerConnectionError:
                    return None

        peers = dict(self.process.membership.peers)
        answers = await asyncio.gather(*(query_peer(peer) for peer in peers.values()))
        return dict(zip(peers, answers, strict=True))

    async def show_status(self, request: Request) -> Response:
        """Show all known processes, the revisions in force and the gauges of each."""
        answers = await self.query_all_processes(
            Body(pull_status=messages.PullStatus())
        )
        rows = [status_row(self.process.status())]
        for name, answer in answers.items():
            if answer is not None and answer.status is not None:
                rows.append(status_row(answer.status))
            else:
                member = self.process.membership.peers[name].member
                rows.append(member_row(member))
        rows.sort(key=lambda row: (row["role"], row["name"]))
        return json_response(200, rows)

    async def show_timeline(self, request: Request) -> Response:
        """Show the events of all processes that concern a subject, ordered by time."""
        subject = request.parameter("subject")
        query = Body(pull_events=messages.PullEvents(subject, MAX_EVENTS))
        answers = await self.query_all_processes(query)
        events = self.process.recorder.latest_events(subject, MAX_EVENTS)
        for answer in answers.values():
            if answer is not None and answer.events is not None:
                events = events + answer.events.events
        silent = [name for name, answer in answers.items() if answer is None]
        rows = [event_row(event) for event in merge_events(events)[-MAX_EVENTS:]]
        return json_response(200, {"events": rows, "silent": silent})

    async def drain(self, request: Request) -> Response:
        """Drain a backend server or a process, so that it accepts no new work.

        For a sidecar the order is stored first, so that it outlasts a restart.
        """
        name = request.parameter("name")
        peers = [
            peer
            for peer in self.process.membership.peers.values()
            if name and name in (peer.member.name, peer.member.backend)
        ]
        if not peers:
            detail = f"no known process or backend server is named {name!r}"
            return problem_response(404, "not run", detail)
        for peer in peers:
            if peer.member.role == Role.SIDECAR:
                key = LEAVING_PREFIX + peer.member.backend
                write = Write(HEADS_TABLE, key, {"leaving": True})
                outcome = await self.tables.commit([write])
                if not isinstance(outcome, Committed):
                    return platform_error_response(outcome)
        order = Body(drain=messages.Drain(DRAIN_DEADLINE_MS))
        notified = []
        for peer in peers:
            peer.member.leaving = True
            try:
                await self.process.connection(peer.address).call(order, QUERY_TIMEOUT_S)
                notified.append(peer.member.name)
            except PeerConnectionError:
                continue
        return json_response(200, {"told": notified})

    async def undo_drain(self, request: Request) -> Response:
        """Delete a stored drain order; the sidecar accepts work after a restart."""
        name = request.parameter("name")
        outcome = await self.tables.commit([Write(HEADS_TABLE, LEAVING_PREFIX + name)])
        if not isinstance(outcome, Committed):
            return platform_error_response(outcome)
        return json_response(200, {"undone": name})

    async def show_weights(self, request: Request) -> Response:
        """Show the newest version of each pool, and those loaded by its servers."""
        rows = await self.tables.scan(HEADS_TABLE, WEIGHTS_PREFIX)
        if isinstance(rows, Unavailable):
            return platform_error_response(rows)
        pools = {}
        for row in rows:
            pool = row.key.removeprefix(WEIGHTS_PREFIX)
            loaded_versions = {
                peer.member.backend: peer.load.version if peer.load else None
                for peer in self.process.membership.sidecars(pool)
            }
            pools[pool] = row.value | {"backends": loaded_versions}
        return json_response(200, pools)

    async def publish_weights(self, request: Request) -> Response:
        """Publish the request's body as a weight version of a pool."""
        pool, version = request.parameter("pool"), request.parameter("version")
        declared = self.process.active_revision.catalog.pools.get(pool)
        if declared is None or declared.kind != "model":
            return problem_response(404, "not run", f"there is no model pool {pool!r}")
        if not version.isdigit() or int(version) < 1:
            return problem_response(
                422,
                "not run",
                f"version is {version!r}; it must be a whole number of at least 1",
            )
        outcome = await self.publisher.publish(
            pool, int(version), request.body, "operator"
        )
        if not isinstance(outcome, Committed):
            return platform_error_response(outcome)
        return json_response(200, {"pool": pool, "version": int(version)})


def status_row(status: messages.Status) -> dict:
    """Return the status of a process that answered, as JSON."""
    member = status.member
    row = member_row(member) | {"answers": True, "revision": status.revision}
    row["figures"] = {figure.name: figure.value for figure in status.figures}
    return row


def member_row(member: messages.Member) -> dict:
    """Return the status of a process that did not answer, from its membership entry."""
    return {
        "name": member.name,
        "role": Role._VALUES_TO_NAMES[member.role].lower(),
        "zone": member.zone,
        "address": f"{member.host}:{member.port}",
        "incarnation": member.incarnation,
        "pool": member.pool,
        "backend": member.backend,
        "leaving": member.leaving,
        "answers": False,
        "revision": None,
        "figures": {},
    }


def event_row(event: messages.Event) -> dict:
    """Return an event as JSON."""
    names = ("time_us", "tick", "process", "kind", "subject", "detail")
    return {name: getattr(event, name) for name in names}


def platform_error_response(outcome) -> Response:
    """Return the response for a platform error: 503, or 504 for an unknown outcome."""
    reason = getattr(outcome, "reason", "") or "no reason given"
    if isinstance(outcome, Unknown):
        return problem_response(504, "unknown", reason, retry_after=1.0)
    detail = f"the platform cannot be asked: {reason}"
    return problem_response(503, "not run", detail, retry_after=1.0)


def invalid_response(outcome: Invalid) -> Response:
    """Return the response for rejected declarations, with all problems."""
    problems = [str(each) for each in outcome.problems]
    detail = "the declarations were rejected; nothing was accepted"
    return problem_response(422, "not run", detail, problems=problems)

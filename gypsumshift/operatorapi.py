"""HTTP API for operators: declarations, status, drains, weights and time line."""

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
    """Return what changes from one revision's declarations to another's, line by line.

    Lines begin with ``+`` (new), ``-`` (gone) or ``~`` (changed, with the fields).
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
    """Return the fields that differ between two declarations of one thing."""
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
    """Answers operators; any entry can.

    Parameters
    ----------
    process : Process
    """

    def __init__(self, process: Process):
        self.process = process
        self.revision_history = process.revision_history
        self.tables = process.platform.tables
        self.publisher = WeightPublisher(process)
        self.token = operator_token(process.settings)

    async def serve(self, request: Request) -> Response | None:
        """Answer one request; None where the path is none of ours."""
        if request.path not in OPEN_PATHS and not self.is_authorized(request):
            detail = "this address asks for a bearer token"
            return unauthorized(detail)
        method, path = request.method, request.path
        handlers = {
            ("GET", "/v1/revisions"): self.revisions,
            ("POST", "/v1/plan"): self.plan,
            ("POST", "/v1/apply"): self.apply,
            ("GET", "/v1/status"): self.status,
            ("GET", "/v1/timeline"): self.timeline,
            ("POST", "/v1/drain"): self.drain,
            ("DELETE", "/v1/drain"): self.undo_drain,
            ("GET", "/v1/weights"): self.weights,
            ("PUT", "/v1/weights"): self.publish,
        }
        if (method, path) in handlers:
            return await handlers[method, path](request)
        if method == "GET" and path.startswith("/v1/revisions/"):
            return await self.revision(path.rpartition("/")[2])
        return None

    def is_authorized(self, request: Request) -> bool:
        """Tell whether a request carries the token that the settings ask for."""
        if not self.token:
            return True
        return hmac.compare_digest(bearer_token(request).encode(), self.token.encode())

    # Declarations

    async def revisions(self, request: Request) -> Response:
        """List all accepted revisions, without their declarations."""
        found = await self.revision_history.read_all()
        if isinstance(found, Unavailable):
            return platform_error_response(found)
        rows = [attrs.asdict(accepted) for accepted in found]
        for row in rows:
            del row["declarations"], row["token"]
        return json_response(200, rows)

    async def revision(self, text: str) -> Response:
        """Show one revision; ``newest`` names the newest."""
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
        return Unavailable("its row is gone") if isinstance(found, Missing) else found

    def read_body(self, request: Request) -> dict | Response:
        """Return the JSON object in a request's body."""
        try:
            value = json.loads(request.body)
        except ValueError as error:
            return problem_response(400, "not run", f"the body is not JSON: {error}")
        if not isinstance(value, dict) or "declarations" not in value:
            return problem_response(422, "not run", "the body lacks declarations")
        return value

    async def plan(self, request: Request) -> Response:
        """Check declarations and show what they would change."""
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
        """Accept declarations on top of the revision that was planned on."""
        value = self.read_body(request)
        if isinstance(value, Response):
            return value
        base = value.get("base")
        if not isinstance(base, int) or base < 0:
            return problem_response(
                422, "not run", "base takes the planned revision's number"
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
            return await self.conflict(base, outcome)
        if isinstance(outcome, Unknown):
            return problem_response(504, "unknown", outcome.reason, retry_after=1.0)
        return platform_error_response(outcome)

    async def conflict(self, base: int, outcome: Conflict) -> Response:
        """Answer an apply that another operator's overtook, with that change."""
        old, new = await asyncio.gather(
            self.revision_history.read_revision(base), self.read_newest()
        )
        lines = []
        if isinstance(old, AcceptedRevision) and isinstance(new, AcceptedRevision):
            lines = diff_declarations(old.declarations, new.declarations)
        detail = f"planned on revision {base}, but {outcome.detail}"
        return problem_response(409, "not run", detail, difference=lines)

    # Processes

    async def query_all_processes(self, question: Body) -> dict[str, Body | None]:
        """Ask all known processes; None for those that do not answer."""
        slots = asyncio.Semaphore(CONCURRENT_QUERIES)

        async def ask(known) -> Body | None:
            async with slots:
                try:
                    link = self.process.connection(known.address)
                    return await link.call(question, QUERY_TIMEOUT_S)
                except PeerConnectionError:
                    return None

        known = dict(self.process.membership.peers)
        answers = await asyncio.gather(*(ask(each) for each in known.values()))
        return dict(zip(known, answers, strict=True))

    async def status(self, request: Request) -> Response:
        """Show all known processes and what each has in force."""
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

    async def timeline(self, request: Request) -> Response:
        """Show the events of all processes about one subject, in one order."""
        subject = request.parameter("subject")
        question = Body(pull_events=messages.PullEvents(subject, MAX_EVENTS))
        answers = await self.query_all_processes(question)
        events = self.process.recorder.latest_events(subject, MAX_EVENTS)
        for answer in answers.values():
            if answer is not None and answer.events is not None:
                events = events + answer.events.events
        silent = [name for name, answer in answers.items() if answer is None]
        rows = [event_row(event) for event in merge_events(events)[-MAX_EVENTS:]]
        return json_response(200, {"events": rows, "silent": silent})

    async def drain(self, request: Request) -> Response:
        """Have one backend server or process take no new work."""
        name = request.parameter("name")
        chosen = [
            known
            for known in self.process.membership.peers.values()
            if name and name in (known.member.name, known.member.backend)
        ]
        if not chosen:
            detail = f"no process or backend server {name!r} is known here"
            return problem_response(404, "not run", detail)
        for known in chosen:
            if known.member.role == Role.SIDECAR:
                key = LEAVING_PREFIX + known.member.backend
                write = Write(HEADS_TABLE, key, {"leaving": True})
                outcome = await self.tables.commit([write])
                if not isinstance(outcome, Committed):
                    return platform_error_response(outcome)
        order = Body(drain=messages.Drain(DRAIN_DEADLINE_MS))
        told = []
        for known in chosen:
            known.member.leaving = True
            try:
                await self.process.connection(known.address).call(
                    order, QUERY_TIMEOUT_S
                )
                told.append(known.member.name)
            except PeerConnectionError:
                continue
        return json_response(200, {"told": told})

    async def undo_drain(self, request: Request) -> Response:
        """Take back a drain; the sidecar that is started next takes work again."""
        name = request.parameter("name")
        outcome = await self.tables.commit([Write(HEADS_TABLE, LEAVING_PREFIX + name)])
        if not isinstance(outcome, Committed):
            return platform_error_response(outcome)
        return json_response(200, {"undone": name})

    async def weights(self, request: Request) -> Response:
        """Show the newest version of each pool, and which backend server has what."""
        rows = await self.tables.scan(HEADS_TABLE, WEIGHTS_PREFIX)
        if isinstance(rows, Unavailable):
            return platform_error_response(rows)
        pools = {}
        for row in rows:
            pool = row.key.removeprefix(WEIGHTS_PREFIX)
            loads = {
                known.member.backend: known.load.version if known.load else None
                for known in self.process.membership.sidecars(pool)
            }
            pools[pool] = row.value | {"backends": loads}
        return json_response(200, pools)

    async def publish(self, request: Request) -> Response:
        """Publish weights of a pool."""
        pool, version = request.parameter("pool"), request.parameter("version")
        declared = self.process.active_revision.catalog.pools.get(pool)
        if declared is None or declared.kind != "model":
            return problem_response(404, "not run", f"there is no model pool {pool!r}")
        if not version.isdigit() or int(version) < 1:
            return problem_response(
                422, "not run", "version takes a whole number from 1"
            )
        outcome = await self.publisher.publish(
            pool, int(version), request.body, "operator"
        )
        if not isinstance(outcome, Committed):
            return platform_error_response(outcome)
        return json_response(200, {"pool": pool, "version": int(version)})


def status_row(status: messages.Status) -> dict:
    """Return one process's status as JSON."""
    member = status.member
    row = member_row(member) | {"answers": True, "revision": status.revision}
    row["figures"] = {figure.name: figure.value for figure in status.figures}
    return row


def member_row(member: messages.Member) -> dict:
    """Return what is known of a process that does not answer."""
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
    """Return one event as JSON."""
    names = ("time_us", "tick", "process", "kind", "subject", "detail")
    return {name: getattr(event, name) for name in names}


def platform_error_response(outcome) -> Response:
    """Return the answer for a platform that cannot be asked."""
    reason = getattr(outcome, "reason", "") or "no reason given"
    if isinstance(outcome, Unknown):
        return problem_response(504, "unknown", reason, retry_after=1.0)
    detail = f"the platform cannot be asked: {reason}"
    return problem_response(503, "not run", detail, retry_after=1.0)


def invalid_response(outcome: Invalid) -> Response:
    """Return the answer for rejected declarations."""
    problems = [str(each) for each in outcome.problems]
    detail = "the declarations were rejected; nothing was accepted"
    return problem_response(422, "not run", detail, problems=problems)

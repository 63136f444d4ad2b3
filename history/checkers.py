"""Checkers: one for each promise, over a recorded history.

A history is a list of JSON objects. ``kind`` says what each records:

- ``call``: a caller's request with its final outcome
- ``run``: a plain service began to run a request (from its own journal)
- ``delivery``: a step as a trainer got it
- ``submitted``: groups that a trainer submitted
- ``fault``: what was done to whom, from when to when
- ``accepted``: a revision that an operator got accepted
- ``probe``: the revision that one process had in force
- ``end``: the trainer pulled everything that it had submitted
"""

import collections

import attrs

from standins.engine import TOKENS_PER_VERSION

__all__ = ["CHECKERS", "Finding", "judge"]

IN_FORCE_WITHIN = 5.0
LEAVING_WITHIN = 5.0
SETTLE = 3.0
SHOWN = 3


@attrs.define
class Finding:
    """What a checker found.

    Attributes
    ----------
    promise : str
    checked : int
        Operations that bear on the promise.
    violations : list of str
    """

    promise: str
    checked: int = 0
    violations: list[str] = attrs.field(factory=list)

    def check(self, holds: bool, what: str) -> None:
        """Count one check."""
        self.checked += 1
        if not holds:
            self.violations.append(what)


class History:
    """A history, by kinds.

    Parameters
    ----------
    records : list of dict
    """

    def __init__(self, records: list[dict]):
        self.kinds = collections.defaultdict(list)
        for record in records:
            self.kinds[record["kind"]].append(record)
        self.runs = collections.Counter(run["id"] for run in self.kinds["run"])

    def calls(self, *services: str) -> list[dict]:
        """Return the calls of some sorts."""
        return [call for call in self.kinds["call"] if call["sort"] in services]

    def samples(self):
        """Yield each delivery that is no repetition, with each of its samples."""
        for delivery in self.kinds["delivery"]:
            if not delivery["repeated"]:
                for sample in delivery["samples"]:
                    yield delivery, sample


def labels(history: History, finding: Finding) -> None:
    """Samples name the versions that truly produced them."""
    for _, sample in history.samples():
        told = [
            version
            for first, last, version in sample["spans"]
            for _ in range(first, last)
        ]
        truth = [token // TOKENS_PER_VERSION for token in sample["token_ids"]]
        finding.check(told == truth, f"{sample['id']}: told {sample['spans']}")


def staleness(history: History, finding: Finding) -> None:
    """No sample is older than the bound."""
    for delivery, sample in history.samples():
        oldest = min(token // TOKENS_PER_VERSION for token in sample["token_ids"])
        lag = delivery["trainer_version"] - oldest
        finding.check(lag <= delivery["bound"], f"{sample['id']} lags {lag}")


def exactly_once(history: History, finding: Finding) -> None:
    """Each sample is delivered exactly once."""
    steps, seen = {}, collections.Counter()
    for delivery in history.kinds["delivery"]:
        ids = [sample["id"] for sample in delivery["samples"]]
        known = steps.setdefault(delivery["step"], ids)
        finding.check(known == ids, f"step {delivery['step']} differs")
    for ids in steps.values():
        seen.update(ids)
    for name, count in seen.items():
        finding.check(count == 1, f"{name} delivered {count} times")
    if history.kinds["end"]:
        for record in history.kinds["submitted"]:
            for name in record["samples"]:
                finding.check(name in seen, f"{name} was lost")


def whole_answers(history: History, finding: Finding) -> None:
    """A caller gets the whole answer to its own request."""
    for call in history.kinds["call"]:
        if call["outcome"] == "answered":
            finding.check(call["own"] and call["whole"], f"{call['id']}: {call['why']}")


def not_run(history: History, finding: Finding) -> None:
    """A refusal that says "not run" is true."""
    by_id = collections.defaultdict(list)
    for call in history.calls("read", "sale"):
        by_id[call["id"]].append(call["outcome"])
    for name, outcomes in by_id.items():
        if all(outcome == "not run" for outcome in outcomes):
            finding.check(history.runs[name] == 0, f"{name} ran, said not run")


def at_most_once(history: History, finding: Finding) -> None:
    """A request that may not be repeated runs at most once, answered means run."""
    for call in history.calls("sale"):
        count = history.runs[call["id"]]
        finding.check(count <= 1, f"{call['id']} ran {count} times")
        if call["outcome"] == "answered":
            finding.check(count >= 1, f"{call['id']} answered without a run")


def leaving(history: History, finding: Finding) -> None:
    """A leaving backend server gets no new work after a few seconds."""
    drains = [f for f in history.kinds["fault"] if f["what"] == "drain"]
    for drain in drains:
        late = [
            run
            for run in history.kinds["run"]
            if run["by"] == drain["whom"]
            and drain["from"] + LEAVING_WITHIN < run["at"] < drain["to"]
        ]
        what = f"{drain['whom']} began {len(late)} requests late"
        finding.check(not late, what)


def graceful(history: History, finding: Finding) -> None:
    """A graceful shutdown cuts no request.

    Judged over the calls near a graceful shutdown with no other fault near.
    """
    faults = history.kinds["fault"]
    hard = [f for f in faults if f["what"] not in ("graceful", "drain")]
    for fault in faults:
        if fault["what"] != "graceful":
            continue
        for call in history.kinds["call"]:
            near = call["from"] < fault["to"] and call["to"] > fault["from"]
            if near and not any(overlaps(call, other) for other in hard):
                cut = call["outcome"] == "unknown"
                what = f"{call['id']} cut near the shutdown of {fault['whom']}"
                finding.check(not cut, what)


def overlaps(call: dict, fault: dict) -> bool:
    """Tell whether a call came while a fault might still be felt."""
    return call["from"] < fault["to"] + SETTLE and call["to"] > fault["from"]


def configuration(history: History, finding: Finding) -> None:
    """An accepted configuration is in force everywhere within seconds, for good."""
    newest = {}
    faults = history.kinds["fault"]
    for probe in history.kinds["probe"]:
        life = (probe["process"], probe["incarnation"])
        before = newest.get(life, -1)
        what = f"{probe['process']} went from {before} to {probe['revision']}"
        finding.check(probe["revision"] >= before, what)
        newest[life] = max(before, probe["revision"])
        due = probe["at"] - IN_FORCE_WITHIN
        expected = max(
            (a["number"] for a in history.kinds["accepted"] if a["at"] < due), default=0
        )
        if any(excuses(fault, probe) for fault in faults):
            continue
        what = f"{probe['process']} has {probe['revision']}, not {expected}, in force"
        finding.check(probe["revision"] >= expected, what)


def excuses(fault: dict, probe: dict) -> bool:
    """Tell whether a process was dead, paused or new while it should have learnt."""
    if fault["whom"] != probe["process"]:
        return False
    return fault["from"] < probe["at"] < fault["to"] + IN_FORCE_WITHIN


CHECKERS = {
    "labels": labels,
    "staleness": staleness,
    "exactly-once": exactly_once,
    "whole-answers": whole_answers,
    "not-run": not_run,
    "at-most-once": at_most_once,
    "leaving": leaving,
    "graceful": graceful,
    "configuration": configuration,
}


def judge(records: list[dict]) -> list[Finding]:
    """Run all checkers over a history."""
    history = History(records)
    findings = []
    for promise, checker in CHECKERS.items():
        finding = Finding(promise)
        checker(history, finding)
        findings.append(finding)
    return findings

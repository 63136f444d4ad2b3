"""Checkers of recorded histories, one for each promise of the system.

A history is a list of JSON objects. ``kind`` says what each records:

- ``call``: a caller's request with its final outcome
- ``run``: a plain service started to run a request (from its own journal)
- ``delivery``: a step as a trainer received it
- ``submitted``: samples of groups that a trainer submitted
- ``fault``: an injected fault with its kind, target, start and end
- ``accepted``: a revision that was accepted from an operator
- ``probe``: the revision that a process had in force
- ``end``: the trainer pulled all samples that it had submitted
"""

import collections

import attrs

from standins.engine import TOKENS_PER_VERSION

__all__ = ["CHECKERS", "Finding", "check_history"]

IN_FORCE_LIMIT_S = 5.0
LEAVING_LIMIT_S = 5.0
SETTLE_TIME_S = 3.0
MAX_SHOWN_VIOLATIONS = 3


@attrs.define
class Finding:
    """Result of one checker.

    Attributes
    ----------
    promise : str
    checked : int
        Number of operations to which the promise applies.
    violations : list of str
    """

    promise: str
    checked: int = 0
    violations: list[str] = attrs.field(factory=list)

    def add_check(self, holds: bool, what: str) -> None:
        """Count one check, and record a violation if it does not hold."""
        self.checked += 1
        if not holds:
            self.violations.append(what)


class History:
    """Records of a history, grouped by kind.

    Parameters
    ----------
    records : list of dict
    """

    def __init__(self, records: list[dict]):
        self.records_by_kind = collections.defaultdict(list)
        for record in records:
            self.records_by_kind[record["kind"]].append(record)
        self.run_counts = collections.Counter(
            run["id"] for run in self.records_by_kind["run"]
        )

    def calls(self, *sorts: str) -> list[dict]:
        """Return the calls of the given sorts."""
        return [call for call in self.records_by_kind["call"] if call["sort"] in sorts]

    def samples(self):
        """Yield each sample of each delivery that is not a repetition."""
        for delivery in self.records_by_kind["delivery"]:
            if not delivery["repeated"]:
                for sample in delivery["samples"]:
                    yield delivery, sample


def check_labels(history: History, finding: Finding) -> None:
    """Check that samples are labelled with the versions that produced their tokens."""
    for _, sample in history.samples():
        labelled = [
            version
            for first, last, version in sample["spans"]
            for _ in range(first, last)
        ]
        actual = [token // TOKENS_PER_VERSION for token in sample["token_ids"]]
        finding.add_check(
            labelled == actual, f"{sample['id']}: wrong labels {sample['spans']}"
        )


def check_staleness(history: History, finding: Finding) -> None:
    """Check that no sample is older than the staleness bound."""
    for delivery, sample in history.samples():
        oldest = min(token // TOKENS_PER_VERSION for token in sample["token_ids"])
        lag = delivery["trainer_version"] - oldest
        finding.add_check(
            lag <= delivery["bound"],
            f"{sample['id']} lags {lag} versions, more than {delivery['bound']}",
        )


def check_exactly_once(history: History, finding: Finding) -> None:
    """Check that each sample is delivered exactly once."""
    steps, seen = {}, collections.Counter()
    for delivery in history.records_by_kind["delivery"]:
        ids = [sample["id"] for sample in delivery["samples"]]
        first_ids = steps.setdefault(delivery["step"], ids)
        finding.add_check(
            first_ids == ids,
            f"step {delivery['step']} was delivered again with other samples",
        )
    for ids in steps.values():
        seen.update(ids)
    for name, count in seen.items():
        finding.add_check(count == 1, f"{name} delivered {count} times")
    if history.records_by_kind["end"]:
        for record in history.records_by_kind["submitted"]:
            for name in record["samples"]:
                finding.add_check(
                    name in seen, f"{name} was submitted but not delivered"
                )


def check_whole_answers(history: History, finding: Finding) -> None:
    """Check that a caller gets the complete answer to its own request."""
    for call in history.records_by_kind["call"]:
        if call["outcome"] == "answered":
            finding.add_check(
                call["own"] and call["whole"], f"{call['id']}: {call['why']}"
            )


def check_not_run(history: History, finding: Finding) -> None:
    """Check that a request refused as "not run" was not run by the service."""
    by_id = collections.defaultdict(list)
    for call in history.calls("read", "sale"):
        by_id[call["id"]].append(call["outcome"])
    for name, outcomes in by_id.items():
        if all(outcome == "not run" for outcome in outcomes):
            finding.add_check(
                history.run_counts[name] == 0, f"{name} ran but was refused as not run"
            )


def check_at_most_once(history: History, finding: Finding) -> None:
    """Check that a non-repeatable request runs at most once, and ran if answered."""
    for call in history.calls("sale"):
        count = history.run_counts[call["id"]]
        finding.add_check(count <= 1, f"{call['id']} ran {count} times")
        if call["outcome"] == "answered":
            finding.add_check(count >= 1, f"{call['id']} answered without a run")


def check_leaving(history: History, finding: Finding) -> None:
    """Check that a leaving backend server gets no new work after a few seconds."""
    drains = [f for f in history.records_by_kind["fault"] if f["what"] == "drain"]
    for drain in drains:
        late = [
            run
            for run in history.records_by_kind["run"]
            if run["by"] == drain["whom"]
            and drain["from"] + LEAVING_LIMIT_S < run["at"] < drain["to"]
        ]
        what = f"{drain['whom']} started {len(late)} requests late in its drain"
        finding.add_check(not late, what)


def check_graceful(history: History, finding: Finding) -> None:
    """Check that a graceful shutdown interrupts no request.

    Considers the calls during a graceful shutdown that no other fault may affect.
    """
    faults = history.records_by_kind["fault"]
    other_faults = [f for f in faults if f["what"] not in ("graceful", "drain")]
    for fault in faults:
        if fault["what"] != "graceful":
            continue
        for call in history.records_by_kind["call"]:
            near = call["from"] < fault["to"] and call["to"] > fault["from"]
            if near and not any(may_be_affected(call, other) for other in other_faults):
                cut = call["outcome"] == "unknown"
                what = (
                    f"{call['id']} interrupted during the shutdown of {fault['whom']}"
                )
                finding.add_check(not cut, what)


def may_be_affected(call: dict, fault: dict) -> bool:
    """Return whether a call overlaps a fault or the time to recover from it."""
    return call["from"] < fault["to"] + SETTLE_TIME_S and call["to"] > fault["from"]


def check_configuration(history: History, finding: Finding) -> None:
    """Check that an accepted revision is soon in force in all processes, and stays."""
    newest = {}
    faults = history.records_by_kind["fault"]
    for probe in history.records_by_kind["probe"]:
        process_run = (probe["process"], probe["incarnation"])
        before = newest.get(process_run, -1)
        what = f"{probe['process']} went from revision {before} to {probe['revision']}"
        finding.add_check(probe["revision"] >= before, what)
        newest[process_run] = max(before, probe["revision"])
        due = probe["at"] - IN_FORCE_LIMIT_S
        expected = max(
            (a["number"] for a in history.records_by_kind["accepted"] if a["at"] < due),
            default=0,
        )
        if any(explains_old_revision(fault, probe) for fault in faults):
            continue
        what = f"{probe['process']} has {probe['revision']}, not {expected}, in force"
        finding.add_check(probe["revision"] >= expected, what)


def explains_old_revision(fault: dict, probe: dict) -> bool:
    """Return whether a fault of the process explains that its revision is old."""
    if fault["whom"] != probe["process"]:
        return False
    return fault["from"] < probe["at"] < fault["to"] + IN_FORCE_LIMIT_S


CHECKERS = {
    "labels": check_labels,
    "staleness": check_staleness,
    "exactly-once": check_exactly_once,
    "whole-answers": check_whole_answers,
    "not-run": check_not_run,
    "at-most-once": check_at_most_once,
    "leaving": check_leaving,
    "graceful": check_graceful,
    "configuration": check_configuration,
}


def check_history(records: list[dict]) -> list[Finding]:
    """Run all checkers on a history."""
    history = History(records)
    findings = []
    for promise, checker in CHECKERS.items():
        finding = Finding(promise)
        checker(history, finding)
        findings.append(finding)
    return findings

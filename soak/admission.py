"""Check refusals by the free places of servers, and how crowding was served."""

import collections

from soak.crowding import RECOVERY_S, CrowdingPeriod
from soak.disturbances import Disturbances
from soak.keys import FLOODER, KeyRotator
from soak.places import KNOWN_WITHIN_S, PlaceHistory
from soak.workload import Observations, Refusal

__all__ = ["check_crowding", "check_needless_refusals"]

# Least share of a workspace's requests that is served, as a part of that of all.
MIN_RELATIVE_SHARE = 0.25
# Routes of the application servers.
APP_TARGETS = ("/app/", "/once/")


def check_needless_refusals(
    seen: Observations,
    keys: KeyRotator,
    places: PlaceHistory,
    disturbances: Disturbances,
    periods: list[CrowdingPeriod],
) -> list[str]:
    """Return refusals outside of crowding while half of the places were free.

    Refusals at a gateway that a fault kept from the store, or that was stopped, do not
    count, nor do those of keys that gateways may be unable to verify.
    """
    return [
        f"{request}: refused at {refusal.gateway} at {refusal.answered_at:.3f}, while "
        f"half of the places were free: {refusal.content[:200]!r}"
        for request, refusal in seen.refused.items()
        if refusal.target.startswith(APP_TARGETS)
        and has_known_key(request, keys)
        and not is_excused(refusal, disturbances, periods)
        and places.half_free(refusal.sent_at, refusal.answered_at)
    ]


def has_known_key(request: str, keys: KeyRotator) -> bool:
    """Return whether all gateways knew the key of a request, and it was valid."""
    sent = keys.sent_requests.get(request)
    if sent is None or sent.key in keys.removed_keys or not sent.key.added_at:
        return False
    return sent.at > sent.key.added_at + KNOWN_WITHIN_S


def is_excused(
    refusal: Refusal, disturbances: Disturbances, periods: list[CrowdingPeriod]
) -> bool:
    """Return whether a refusal was during a flood or a fault, or shortly after."""
    start, end = refusal.sent_at - KNOWN_WITHIN_S, refusal.answered_at
    crowded = any(
        period.started_at <= end and refusal.sent_at <= period.ended_at + RECOVERY_S
        for period in periods
    )
    return crowded or disturbances.include(refusal.gateway, start, end)


def check_crowding(
    period: CrowdingPeriod, gateways: list[str], disturbances: Disturbances
) -> list[str]:
    """Return workspaces that were served too seldom during a flood, or not after it.

    The second check needs that no gateway was disturbed from shortly before.
    """
    violations = check_shares(period)
    until = period.ended_at + RECOVERY_S
    start = period.ended_at - KNOWN_WITHIN_S
    if any(disturbances.include(gateway, start, until) for gateway in gateways):
        return violations
    served = {
        request.workspace
        for request in period.requests
        if request.status == 200 and period.ended_at < request.answered_at <= until
    }
    workspaces = {request.workspace for request in period.requests}
    return violations + [
        f"{name}: not served within {RECOVERY_S} s after a flood"
        for name in sorted(workspaces - served)
    ]


def check_shares(period: CrowdingPeriod) -> list[str]:
    """Return workspaces that did not flood and were served too seldom."""
    sent, served = collections.Counter(), collections.Counter()
    for request in period.requests:
        if request.sent_at <= period.ended_at:
            sent[request.workspace] += 1
            served[request.workspace] += request.status == 200
    share = served.total() / max(1, sent.total())
    violations = []
    for name in sorted(sent.keys() - {FLOODER}):
        # Whole requests, as a part of a request cannot be served.
        least = int(MIN_RELATIVE_SHARE * share * sent[name])
        if served[name] < least:
            violations.append(
                f"{name}: {served[name]} of {sent[name]} requests served during a "
                f"flood, {served.total()} of {sent.total()} of all"
            )
    return violations

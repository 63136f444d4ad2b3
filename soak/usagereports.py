"""Duties: what the platform saw of the host that tells the usage."""

import json

from soak.deployment import Deployment
from standins.users_cloud import Call, find_violations

__all__ = ["check_usage_reports"]


async def check_usage_reports(deployment: Deployment) -> list[str]:
    """Return what one holder at a time would never have sent, and windows left out."""
    answer = await deployment.fetcher.fetch(deployment.cloud_address, "GET", "/seen")
    calls = [Call(**call) for call in json.loads(answer.body)]
    wrong = find_violations(calls)
    told = {call.window for call in calls}
    if not told:
        return [*wrong, "no window was told"]
    missing = [w for w in range(min(told), max(told)) if w not in told]
    return wrong + [f"window {window} was not told" for window in missing]

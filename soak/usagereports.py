"""Check the usage reports that the fake cloud API received."""

import json

from soak.deployment import Deployment
from standins.users_cloud import Call, find_violations

__all__ = ["check_usage_reports"]


async def check_usage_reports(deployment: Deployment) -> list[str]:
    """Return reports that a single holder would not have sent, and missing windows."""
    answer = await deployment.fetcher.fetch(deployment.cloud_address, "GET", "/seen")
    calls = [Call(**call) for call in json.loads(answer.body)]
    violations = find_violations(calls)
    reported = {call.window for call in calls}
    if not reported:
        return [*violations, "no usage window was reported"]
    missing = [w for w in range(min(reported), max(reported)) if w not in reported]
    return violations + [
        f"usage window {window} was not reported" for window in missing
    ]

"""What ``show`` prints of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from cicadacourse.application import Application


def status(app: Application, in_progress: int) -> dict[str, Any]:
    """Returns the instance's view of the fleet as JSON."""
    membership = app.get("membership")
    return {
        "instance": membership.self_member().name,
        "in_progress": in_progress,
        "tables_version": app.get("tables").current().version,
        "members": [_member(member) for member in membership.members()],
        "endpoints": _endpoints(app),
        "leases": _rows(app, "orders", "leases"),
        "organisations": _rows(app, "limits", "organisations"),
    }


def _member(member: Any) -> dict[str, Any]:
    return {**attrs.asdict(member), "state": member.state.value}


def _endpoints(app: Application) -> list[dict[str, Any]]:
    return [
        {**attrs.asdict(endpoint), "state": state}
        for endpoint, state in app.get("directory").all_endpoints()
    ]


def _rows(app: Application, service_name: str, method: str) -> list[Any]:
    """Returns what a service lists of itself, or nothing if it does not."""
    service = app.find(service_name)
    listing = getattr(service, method, None)
    return list(listing()) if listing is not None else []

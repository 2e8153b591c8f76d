"""Decides whether a request is taken on, in a fixed order of checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.entry._request import CallerRequest, check_key
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.tables import KIND_CALL, Pool, Route

if TYPE_CHECKING:
    from cicadacourse.application import Application

KEY_HORIZON_S = 3600.0
NOT_READY_RETRY_AFTER_S = 1.0


@attrs.frozen
class Admitted:
    """A request with the route and the pool that serve it."""

    request: CallerRequest
    route: Route
    pool: Pool


def not_ready_reason(app: Application) -> str:
    """Returns why the instance cannot serve yet, or nothing if it can."""
    tables = app.find("tables")
    if tables is None or not tables.ready():
        return "no_tables"
    directory = app.find("directory")
    if directory is None or not directory.ready():
        return "no_endpoint_list"
    return ""


async def admit(
    app: Application, request: CallerRequest, deadline: float
) -> Result[Admitted, Error]:
    """Checks readiness, route, sizes, time limit, key and limits, in this order.

    The organisation's limits come last, so that a request refused for another
    reason takes nothing from them.
    """
    reason = not_ready_reason(app)
    if reason:
        return Failure(
            Error(
                ErrorKind.NOT_READY,
                "this instance is starting",
                reason,
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        )
    tables = app.get("tables").current()
    route = tables.routes_by_name.get(request.route)
    pool = tables.pools_by_name.get(route.pool) if route else None
    if route is None or pool is None:
        return Failure(Error(ErrorKind.UNKNOWN_ROUTE, f"no route {request.route!r}"))
    error = _check_sizes(request, route) or _check_key(app, request, route)
    if error is not None:
        return Failure(error)
    tokens = request.prompt_tokens + _output_tokens(request, route)
    limits = app.find("limits")
    if limits is not None:
        admitted = await limits.admit(request.organisation, route, tokens, deadline)
        if isinstance(admitted, Failure):
            return admitted
    return Success(Admitted(request, route, pool))


def _output_tokens(request: CallerRequest, route: Route) -> int:
    return 0 if route.kind == KIND_CALL else request.max_tokens


def _check_sizes(request: CallerRequest, route: Route) -> Error | None:
    if request.prompt_tokens > route.max_prompt_tokens:
        detail = f"prompt has {request.prompt_tokens} tokens, more than"
        detail = f"{detail} the route's {route.max_prompt_tokens}"
        return Error(ErrorKind.TOO_LARGE, detail, "prompt_tokens")
    if _output_tokens(request, route) > route.max_output_tokens:
        detail = f"max_tokens is above the route's {route.max_output_tokens}"
        return Error(ErrorKind.BAD_REQUEST, detail, "max_tokens")
    if request.time_limit_s > route.max_time_limit_s:
        detail = f"time_limit_s is above the route's {route.max_time_limit_s:g}"
        return Error(ErrorKind.BAD_REQUEST, detail, "time_limit")
    if request.resume is not None and request.resume.position > request.max_tokens:
        return Error(ErrorKind.BAD_REQUEST, "resume lies behind max_tokens", "resume")
    return None


def _check_key(app: Application, request: CallerRequest, route: Route) -> Error | None:
    if not request.key:
        return None
    if route.kind != KIND_CALL:
        detail = f"route {route.name!r} takes no key"
        return Error(ErrorKind.BAD_REQUEST, detail, "key_not_taken")
    claims = app.find("claims")
    horizon_s = KEY_HORIZON_S if claims is None else claims.key_horizon_s
    return check_key(request.key, horizon_s)

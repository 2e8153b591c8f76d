"""Asks running instances for their status."""

from __future__ import annotations

import asyncio
from typing import Any, Sequence

from returns.result import Failure, Result, Success

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.util.http import HttpClient, HttpError

STATUS_TIMEOUT_S = 3.0
STATE_DEAD = "dead"

_OK = 200


async def fetch_status(http: HttpClient, address: str) -> Result[dict[str, Any], Error]:
    """Returns the status that the instance at a caller address gives of itself."""
    try:
        answer = await http.request("GET", address, "/v1/status", STATUS_TIMEOUT_S)
    except HttpError as error:
        return Failure(Error(ErrorKind.PEER_UNREACHABLE, str(error)))
    if answer.status != _OK:
        detail = f"{address} answered {answer.status}"
        return Failure(Error(ErrorKind.PEER_UNREACHABLE, detail))
    try:
        return Success(dict(answer.json()))
    except (ValueError, TypeError) as error:
        detail = f"{address}: malformed status: {error}"
        return Failure(Error(ErrorKind.PEER_UNREACHABLE, detail))


async def fetch_first_status(
    http: HttpClient, addresses: Sequence[str]
) -> Result[dict[str, Any], Error]:
    """Returns the status of the first instance that answers."""
    result: Result[dict[str, Any], Error] = Failure(
        Error(ErrorKind.PEER_UNREACHABLE, "no address was given")
    )
    for address in addresses:
        result = await fetch_status(http, address)
        if isinstance(result, Success):
            return result
    return result


async def fetch_versions(
    http: HttpClient, addresses: Sequence[str]
) -> dict[str, int | None]:
    """Returns the version in force on each live instance; None where none answered.

    It asks the instances at the addresses, those that they know, and so on, since
    each may know too few. Empty if no instance answered.
    """
    versions_by_name: dict[str, int | None] = {}
    asked: set[str] = set()
    found = dict.fromkeys(addresses)
    while found:
        asked.update(found)
        statuses = await asyncio.gather(
            *(fetch_status(http, address) for address in found)
        )
        found = {}
        for status in statuses:
            for member in _take_status(status, versions_by_name):
                if member["caller_address"] not in asked:
                    found[member["caller_address"]] = None
    return versions_by_name


def _take_status(
    status: Result[dict[str, Any], Error], versions_by_name: dict[str, int | None]
) -> list[dict[str, Any]]:
    """Notes an instance's version; returns the live members that it knows."""
    match status:
        case Success(body):
            members = get_live_members(body)
        case _:
            return []
    for member in members:
        versions_by_name.setdefault(member["name"], None)
    versions_by_name[body["instance"]] = body.get("tables_version")
    return members


def get_live_members(status: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns the members that an instance sees as not dead."""
    return [row for row in status.get("members", ()) if row["state"] != STATE_DEAD]

"""Fetches the status of running instances."""

from __future__ import annotations

from typing import Sequence

import cattrs
from returns.result import Failure, Result, Success

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.gateway import PATH_STATUS, InstanceStatus
from cicadacourse.util.http import HttpClient, HttpError

STATUS_TIMEOUT_S = 3.0

_OK = 200


async def fetch_status(http: HttpClient, address: str) -> Result[InstanceStatus, Error]:
    """Returns the status of the instance at a metrics address.

    A failure is of the kind ``peer_unreachable``, also for a malformed response or one
    with a status other than 200.
    """
    try:
        response = await http.request("GET", address, PATH_STATUS, STATUS_TIMEOUT_S)
        if response.status != _OK:
            return _unreachable(f"{address} answered with status {response.status}")
        return Success(cattrs.structure(response.json(), InstanceStatus))
    except HttpError as error:
        return _unreachable(str(error))
    except (ValueError, TypeError, KeyError, cattrs.BaseValidationError) as error:
        return _unreachable(f"{address}: malformed status: {error!r}")


def _unreachable(detail: str) -> Result[InstanceStatus, Error]:
    return Failure(Error(ErrorKind.PEER_UNREACHABLE, detail))


async def fetch_first_status(
    http: HttpClient, addresses: Sequence[str]
) -> Result[InstanceStatus, Error]:
    """Returns the status of the first instance that answers, or the last failure."""
    result = _unreachable("no address was given")
    for address in addresses:
        result = await fetch_status(http, address)
        if isinstance(result, Success):
            return result
    return result


def versions_by_name(status: InstanceStatus) -> dict[str, int]:
    """Returns the configuration version in force on each instance, by name.

    Versions are as the instance that gave the status knows them by gossip.
    """
    return {item.name: item.configuration_version for item in status.members}

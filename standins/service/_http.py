"""The plain service's HTTP interface."""

from __future__ import annotations

import attrs
import cattrs
import tornado.web

from standins._http import CoreHandler, make_app
from standins.service._core import CallRequest, ServiceCore


class CallsHandler(CoreHandler):
    """``/calls``: run a call."""

    async def post(self) -> None:
        """Runs the call and returns its result."""
        request = cattrs.structure(self.body, CallRequest)
        self.answer(attrs.asdict(await self.core.call(request)))


class RunsHandler(CoreHandler):
    """``/runs``: how often each request has run."""

    def get(self) -> None:
        """Returns the counts."""
        self.answer({"runs": self.core.runs()})


def service_app(core: ServiceCore) -> tornado.web.Application:
    """Returns the application that serves a plain service."""
    return make_app(core, [("/calls", CallsHandler), ("/runs", RunsHandler)])

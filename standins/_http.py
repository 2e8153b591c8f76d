"""What the HTTP faces of all stand-ins share."""

from __future__ import annotations

import json
from typing import Any

import tornado.web

from standins._refusal import Refusal


class CoreHandler(tornado.web.RequestHandler):
    """Answers one path from a stand-in's core, in JSON."""

    def initialize(self, core: Any) -> None:
        """Keeps the core that answers."""
        self.core = core

    @property
    def body(self) -> dict[str, Any]:
        """The JSON object of the request."""
        return json.loads(self.request.body or b"{}")

    def answer(self, body: dict[str, Any]) -> None:
        """Finishes with a JSON object."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    def drop_connection(self) -> None:
        """Closes the connection without a further byte."""
        self.request.connection.stream.close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers a refusal as JSON, a lost connection by closing."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, Refusal):
            self.set_status(error.status)
            self.answer(error.to_json())
        elif isinstance(error, ConnectionError):
            self.drop_connection()
        else:
            self.answer({"run": "unknown", "detail": str(error)})

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs only what is not a deliberate refusal or fault."""
        if not isinstance(value, (Refusal, ConnectionError)):
            super().log_exception(typ, value, tb)

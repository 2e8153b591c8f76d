"""The base class of a stand-in's HTTP handlers that respond in JSON."""

from __future__ import annotations

import json
from typing import Any

import tornado.web
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream

from standins._refusal import Refusal


def stream_of(request: HTTPServerRequest) -> IOStream:
    """Returns the stream of the connection on which a request was received."""
    connection = request.connection
    assert isinstance(connection, HTTP1Connection)
    return connection.stream


class CoreHandler(tornado.web.RequestHandler):
    """Serves one path by calls to a stand-in's core.

    :ivar core: the object that does the work, without any knowledge of HTTP.
    """

    def initialize(self, core: Any) -> None:
        """Stores the core; called by tornado."""
        self.core = core

    @property
    def body(self) -> dict[str, Any]:
        """The JSON object in the body of the request; empty without a body."""
        return json.loads(self.request.body or b"{}")

    def send_json(self, body: dict[str, Any]) -> None:
        """Finishes the response with a JSON object."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    def drop_connection(self) -> None:
        """Closes the connection without sending anything more."""
        stream_of(self.request).close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Responds to an exception of a handler; called by tornado.

        A refusal becomes its JSON body, a :exc:`ConnectionError` closes the
        connection, and anything else becomes an error of unknown outcome.
        """
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, Refusal):
            self.set_status(error.status)
            self.send_json(error.to_json())
        elif isinstance(error, ConnectionError):
            self.drop_connection()
        else:
            self.send_json({"run": "unknown", "detail": str(error)})

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs an exception unless it is a refusal or a simulated connection loss."""
        if not isinstance(value, (Refusal, ConnectionError)):
            super().log_exception(typ, value, tb)

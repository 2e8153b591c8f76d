"""An HTTP server whose responses are scripted by a test."""

from __future__ import annotations

import contextlib
import json
from typing import Any, Callable, Iterator

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

Script = Callable[[str, str, bytes], tuple[int, Any] | None]


class _Handler(RequestHandler):
    def initialize(self, script: Script) -> None:
        self._script = script

    def prepare(self) -> None:
        response = self._script(
            self.request.method, self.request.uri, self.request.body
        )
        if response is None:
            self.request.connection.stream.close()
            return
        self.set_status(response[0])
        self.finish(json.dumps(response[1]))


@contextlib.contextmanager
def scripted_server(script: Script) -> Iterator[str]:
    """Serves the responses of a script and yields the server's address.

    :param script: returns the status and the JSON body for a method, path and body, or
        None to close the connection without a response.
    """
    sockets = bind_sockets(0, "127.0.0.1")
    server = HTTPServer(Application([(".*", _Handler, {"script": script})]))
    server.add_sockets(sockets)
    try:
        yield "127.0.0.1:%d" % sockets[0].getsockname()[1]
    finally:
        server.stop()

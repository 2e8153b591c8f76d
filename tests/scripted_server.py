"""An HTTP server that gives the answers a test scripts."""

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
        answer = self._script(self.request.method, self.request.uri, self.request.body)
        if answer is None:
            self.request.connection.stream.close()
            return
        self.set_status(answer[0])
        self.finish(json.dumps(answer[1]))


@contextlib.contextmanager
def scripted_server(script: Script) -> Iterator[str]:
    """Serves the script's answers; None cuts the connection. Yields the address."""
    sockets = bind_sockets(0, "127.0.0.1")
    server = HTTPServer(Application([(".*", _Handler, {"script": script})]))
    server.add_sockets(sockets)
    try:
        yield "127.0.0.1:%d" % sockets[0].getsockname()[1]
    finally:
        server.stop()

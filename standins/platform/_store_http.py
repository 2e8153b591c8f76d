"""The store's HTTP faces: one for the system, one for operators and endpoints."""

from __future__ import annotations

import tornado.web

from cicadacourse.util.clock import MS_PER_S
from standins._http import CoreHandler
from standins.platform._store import StoreCore


class _StoreHandler(CoreHandler):
    """Checks the faults, then answers one call."""

    async def prepare(self) -> None:
        """Fails the call as the faults say."""
        await self.core.check(self.request.remote_ip)

    def query(self, name: str, default: str = "") -> str:
        """Returns one argument of the query."""
        return self.get_query_argument(name, default)


class _AppendHandler(_StoreHandler):
    by_system = True

    def post(self) -> None:
        """Appends the records of the body."""
        at = self.query("at")
        done = self.core.append(
            self.query("topic"),
            self.request.body,
            self.by_system,
            int(at) if at else None,
        )
        if self.core.loses_answer():
            raise ConnectionError("the answer is lost")
        self.answer(done)


class _OperatorsAppendHandler(_AppendHandler):
    by_system = False


class _ReadHandler(_StoreHandler):
    async def get(self) -> None:
        """Answers records from an offset as raw bytes."""
        wait_s = int(self.query("waitMs", "0")) / MS_PER_S
        body = await self.core.read(
            self.query("topic"), int(self.query("from")), wait_s
        )
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(body)


class _NewestHandler(_StoreHandler):
    def get(self) -> None:
        """Answers a page of the newest record of each key."""
        self.answer(self.core.newest(self.query("topic"), self.query("after")))


def make_store_application(
    core: StoreCore, for_operators: bool = False
) -> tornado.web.Application:
    """Returns the store's paths.

    :param for_operators: whether the operator's topics may be written.
    """
    append = _OperatorsAppendHandler if for_operators else _AppendHandler
    arguments = {"core": core}
    return tornado.web.Application(
        [
            ("/api/log-append", append, arguments),
            ("/api/log-read", _ReadHandler, arguments),
            ("/api/log-newest", _NewestHandler, arguments),
        ],
        log_function=lambda _: None,
    )

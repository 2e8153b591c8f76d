"""The store's HTTP interfaces: one for instances, one for operators."""

from __future__ import annotations

from typing import Any

import tornado.web

from cicadacourse.platform import _names as names
from cicadacourse.util.clock import MS_PER_S
from standins._http import CoreHandler
from standins.platform._store import BYTES_PER_KB, DEFAULT_READ_KB, StoreCore


class _StoreHandler(CoreHandler):
    """Applies the store's faults to a call before it is served."""

    async def prepare(self) -> None:
        """Delays or fails the call as the faults say; called by tornado."""
        await self.core.apply_faults(self.request.remote_ip)
        self.set_header(names.HEADER_STORE_ERA, str(self.core.era))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Names the store's era in refusals as well; called by tornado."""
        self.set_header(names.HEADER_STORE_ERA, str(self.core.era))
        super().write_error(status_code, **kwargs)

    def query(self, name: str, default: str = "") -> str:
        """Returns one parameter of the query string."""
        return self.get_query_argument(name, default)


class _AppendHandler(_StoreHandler):
    by_system = True

    def post(self) -> None:
        """Appends the records of the body, or loses the response as the faults say."""
        expected_end = self.query("at")
        result = self.core.append(
            self.query("topic"),
            self.request.body,
            self.by_system,
            int(expected_end) if expected_end else None,
        )
        if self.core.should_lose_response():
            raise ConnectionError("the response is lost")
        self.send_json(result)


class _OperatorsAppendHandler(_AppendHandler):
    by_system = False


class _ReadHandler(_StoreHandler):
    async def get(self) -> None:
        """Responds with the records from an offset as raw bytes."""
        wait_s = int(self.query("waitMs", "0")) / MS_PER_S
        max_kb = int(self.query("maxKb", str(DEFAULT_READ_KB)))
        body = await self.core.read(
            self.query("topic"), int(self.query("from")), wait_s, max_kb * BYTES_PER_KB
        )
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(body)


class _NewestHandler(_StoreHandler):
    def get(self) -> None:
        """Responds with a page of the newest record of each key."""
        self.send_json(self.core.read_newest(self.query("topic"), self.query("after")))


def make_store_application(
    core: StoreCore, for_operators: bool = False
) -> tornado.web.Application:
    """Returns the application that serves the store's paths.

    :param for_operators: whether appends to the operators' topics are allowed.
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

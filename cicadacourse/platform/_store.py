"""The one client of the platform's store: a log with topics, newest record by key."""

from __future__ import annotations

import contextlib
import struct
from typing import Any, AsyncIterator
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.metrics import Metrics
from cicadacourse.platform._names import PATH_APPEND, PATH_NEWEST, PATH_READ
from cicadacourse.platform._records import (
    KeyedBatch,
    KeyedRecord,
    pack_record,
    parse_batch,
    parse_page,
)
from cicadacourse.platform._settings import STORE_CALLS, StoreSettings
from cicadacourse.util.http import HttpClient, HttpError, HttpResponse

_OK = 200
_BAD_REQUEST = 400
_FORBIDDEN = 403
_GONE = 410
_NOT_AT_END = 412
_TOO_MANY_CALLS = 429
_BUSY = 503
_FULL = 507
_PART = 0
# After any other status an append may have been taken.
KIND_BY_STATUS = {
    _BAD_REQUEST: ErrorKind.BAD_REQUEST,
    _FORBIDDEN: ErrorKind.FORBIDDEN,
    _NOT_AT_END: ErrorKind.VERSION_CONFLICT,
    _TOO_MANY_CALLS: ErrorKind.STORE_UNAVAILABLE,
    _BUSY: ErrorKind.STORE_UNAVAILABLE,
    _FULL: ErrorKind.STORE_UNAVAILABLE,
}
# Stops a listing that never ends.
_MAX_PAGES = 64


class StoreClient:
    """Calls the store; each call has a time limit and is counted.

    :param settings: where the store is, and its time limits.
    :param metrics: counts the calls.
    """

    def __init__(self, settings: StoreSettings, metrics: Metrics) -> None:
        self.settings = settings
        self._metrics = metrics
        self._http = HttpClient()

    def close(self) -> None:
        """Closes every connection."""
        self._http.close()

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Result[KeyedBatch, Error]:
        """Reads records from an offset; with none there the store waits for one."""
        query = {
            "topic": topic,
            "part": _PART,
            "from": offset,
            "waitMs": int(wait_s * 1000),
        }
        timeout_s = wait_s + self.settings.read_timeout_s
        match await self._call("GET", PATH_READ, query, timeout_s):
            case Success(answer) if answer.status == _GONE:
                return Success(KeyedBatch((), offset, is_trimmed=True))
            case Success(answer):
                return self._parsed(PATH_READ, answer, parse_batch)
            case failure:
                return failure

    async def newest(
        self, topic: str, timeout_s: float | None = None
    ) -> Result[KeyedBatch, Error]:
        """Returns the newest record of each key.

        Pages are no snapshot, so the end is the first page's: what changed while they
        were read is read again from there.

        :param timeout_s: of each page, in seconds; the settings' if None.
        """
        timeout_s = timeout_s or self.settings.timeout_s
        records: list[KeyedRecord] = []
        end: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": _PART}
        for _ in range(_MAX_PAGES):
            match await self._call("GET", PATH_NEWEST, query, timeout_s):
                case Success(answer):
                    page = self._parsed(PATH_NEWEST, answer, parse_page)
                case failure:
                    return failure
            if isinstance(page, Failure):
                return page
            found = page.unwrap()
            records.extend(found.records)
            end = found.end if end is None else end
            if not found.has_more:
                return Success(KeyedBatch(tuple(records), end))
            query["after"] = found.records[-1].key
        return Failure(Error(ErrorKind.STORE_UNAVAILABLE, f"{topic} has no last page"))

    async def put(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> Result[None, Error]:
        """Appends a key's new value; a Failure leaves open whether it was taken.

        :param expected_end: only if the topic still ends there; VERSION_CONFLICT if it
            does not.
        """
        body = pack_record(key, value)
        query = {"topic": topic, "part": _PART}
        if expected_end is not None:
            query["at"] = expected_end
        timeout_s = self.settings.timeout_s
        match await self._call("POST", PATH_APPEND, query, timeout_s, body):
            case Success(_):
                return Success(None)
            case failure:
                return failure

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
        body: bytes | None = None,
    ) -> Result[HttpResponse, Error]:
        target = f"{path}?{urlencode(query)}"
        try:
            answer = await self._http.request(
                method, self.settings.address, target, timeout_s, body
            )
        except HttpError as error:
            self._metrics.count(STORE_CALLS, call=path, outcome="unreachable")
            kind = ErrorKind.STORE_UNAVAILABLE
            if error.may_have_been_sent:
                kind = ErrorKind.STORE_OUTCOME_UNKNOWN
            return Failure(Error(kind, str(error)))
        self._metrics.count(STORE_CALLS, call=path, outcome=str(answer.status))
        if answer.status in (_OK, _GONE):
            return Success(answer)
        kind = KIND_BY_STATUS.get(answer.status, ErrorKind.STORE_OUTCOME_UNKNOWN)
        return Failure(Error(kind, f"{path} answered {answer.status}"))

    def _parsed(
        self, path: str, answer: HttpResponse, parse: Any
    ) -> Result[Any, Error]:
        try:
            return Success(parse(answer.body))
        except (ValueError, KeyError, TypeError, struct.error) as error:
            detail = f"{path}: malformed answer: {error!r}"
            return Failure(Error(ErrorKind.STORE_UNAVAILABLE, detail))


@SERVICES.register("store")
class Store(Service, StoreClient):
    """The instance's client of the store."""

    name = "store"

    def __init__(self, app: Application) -> None:
        Service.__init__(self, app)
        StoreClient.__init__(self, app.settings.get(StoreSettings), app.metrics)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keeps connections to the store while the instance runs."""
        with contextlib.closing(self):
            yield

"""The client of the platform's store: a log of topics, with a newest record per key."""

from __future__ import annotations

import contextlib
import functools
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
_PRECONDITION_FAILED = 412
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503
_INSUFFICIENT_STORAGE = 507
_PARTITION = 0
# Errors by HTTP status. After any other status an append may have taken effect.
KIND_BY_STATUS = {
    _BAD_REQUEST: ErrorKind.BAD_REQUEST,
    _FORBIDDEN: ErrorKind.FORBIDDEN,
    _PRECONDITION_FAILED: ErrorKind.VERSION_CONFLICT,
    _TOO_MANY_REQUESTS: ErrorKind.STORE_UNAVAILABLE,
    _SERVICE_UNAVAILABLE: ErrorKind.STORE_UNAVAILABLE,
    _INSUFFICIENT_STORAGE: ErrorKind.STORE_UNAVAILABLE,
}
# Bounds the pages of one read, in case the store never reports a last one.
_MAX_PAGES = 64


class StoreClient:
    """Calls the store; each call has a time limit and is counted in the metrics.

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
        """Reads records from an offset by a long poll.

        :param wait_s: how long the store waits for a first record, in seconds.
        :returns: a batch that is trimmed if records from the offset on were deleted.
        """
        query = {
            "topic": topic,
            "part": _PARTITION,
            "from": offset,
            "waitMs": int(wait_s * 1000),
        }
        timeout_s = wait_s + self.settings.read_timeout_s
        match await self._call("GET", PATH_READ, query, timeout_s):
            case Success(response) if response.status == _GONE:
                return Success(KeyedBatch((), offset, is_trimmed=True))
            case Success(response):
                parse = functools.partial(parse_batch, offset=offset)
                return self._parse(PATH_READ, response, parse)
            case failure:
                return failure

    async def read_newest(
        self, topic: str, timeout_s: float | None = None
    ) -> Result[KeyedBatch, Error]:
        """Returns the newest record of each key.

        The pages are not one snapshot. The returned end is that of the first page, so
        that reading on from there repeats what changed in the meantime.

        :param timeout_s: time limit of each page, in seconds; None for the setting.
        """
        timeout_s = timeout_s or self.settings.timeout_s
        records: list[KeyedRecord] = []
        end: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": _PARTITION}
        for _ in range(_MAX_PAGES):
            match await self._call("GET", PATH_NEWEST, query, timeout_s):
                case Success(response):
                    page = self._parse(PATH_NEWEST, response, parse_page)
                case failure:
                    return failure
            if isinstance(page, Failure):
                return page
            current = page.unwrap()
            records.extend(current.records)
            end = current.end if end is None else end
            if not current.has_more:
                return Success(KeyedBatch(tuple(records), end))
            query["after"] = current.records[-1].key
        return Failure(
            Error(ErrorKind.STORE_UNAVAILABLE, f"{topic} has too many pages")
        )

    async def put(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> Result[None, Error]:
        """Appends a record with a key's new value; the call is never retried.

        :param expected_end: appends only if the topic still ends at this offset, else
            fails with ``VERSION_CONFLICT``.
        :returns: a Failure of kind ``STORE_OUTCOME_UNKNOWN`` if the append may have
            taken effect; after any other kind it has not.
        """
        body = pack_record(key, value)
        query = {"topic": topic, "part": _PARTITION}
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
            response = await self._http.request(
                method, self.settings.address, target, timeout_s, body
            )
        except HttpError as error:
            self._metrics.count(STORE_CALLS, call=path, outcome="unreachable")
            kind = ErrorKind.STORE_UNAVAILABLE
            if error.may_have_been_sent:
                kind = ErrorKind.STORE_OUTCOME_UNKNOWN
            return Failure(Error(kind, str(error)))
        self._metrics.count(STORE_CALLS, call=path, outcome=str(response.status))
        if response.status in (_OK, _GONE):
            return Success(response)
        kind = KIND_BY_STATUS.get(response.status, ErrorKind.STORE_OUTCOME_UNKNOWN)
        return Failure(Error(kind, f"{path} answered with status {response.status}"))

    def _parse(
        self, path: str, response: HttpResponse, parse: Any
    ) -> Result[Any, Error]:
        try:
            return Success(parse(response.body))
        except (ValueError, KeyError, TypeError, struct.error) as error:
            detail = f"{path}: malformed response: {error!r}"
            return Failure(Error(ErrorKind.STORE_UNAVAILABLE, detail))


@SERVICES.register("store")
class Store(Service, StoreClient):
    """The service ``store``: the instance's client of the store."""

    name = "store"

    def __init__(self, app: Application) -> None:
        Service.__init__(self, app)
        StoreClient.__init__(self, app.settings.get(StoreSettings), app.metrics)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keeps connections to the store while the instance runs."""
        with contextlib.closing(self):
            yield

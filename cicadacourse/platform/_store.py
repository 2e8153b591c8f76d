"""The client of the platform's store: a log of topics, with a newest record per key."""

from __future__ import annotations

import contextlib
import re
from typing import Any, AsyncIterator, Collection
from urllib.parse import urlencode

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.events import STORE_RESTORED as STORE_RESTORED_EVENT
from cicadacourse.logs import STORE_CONNECTION_SILENT, STORE_RESTORED, log
from cicadacourse.metrics import Metrics
from cicadacourse.platform import _names as names
from cicadacourse.platform._names import PATH_APPEND, PATH_NEWEST, PATH_READ
from cicadacourse.platform._positions import era_of, make_position, offset_of
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
# Positions leave 20 bits for the era.
_ERA = re.compile("[0-9]{1,6}")
# Errors by HTTP status. After any other status an append may have taken effect.
KIND_BY_STATUS = {
    _BAD_REQUEST: ErrorKind.BAD_REQUEST,
    _FORBIDDEN: ErrorKind.FORBIDDEN,
    _PRECONDITION_FAILED: ErrorKind.VERSION_CONFLICT,
    _TOO_MANY_REQUESTS: ErrorKind.STORE_UNAVAILABLE,
    _SERVICE_UNAVAILABLE: ErrorKind.STORE_UNAVAILABLE,
    _INSUFFICIENT_STORAGE: ErrorKind.STORE_UNAVAILABLE,
}
# TCP retransmits a lost SYN packet only after one second.
RECONNECT_TIMEOUT_S = 0.5
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
        self._era: int | None = None
        self._http = HttpClient()

    def close(self) -> None:
        """Closes every connection."""
        self._http.close()

    async def read(
        self, topic: str, position: int, wait_s: float
    ) -> Result[KeyedBatch, Error]:
        """Reads records from a position by a long poll.

        :param wait_s: how long the store waits for a first record, in seconds.
        :returns: a batch that is trimmed if records from the position on were deleted,
            or if the store has come back from a copy since.
        """
        offset = offset_of(position)
        query = {
            "topic": topic,
            "part": _PARTITION,
            "from": offset,
            "waitMs": int(wait_s * 1000),
        }
        timeout_s = wait_s + self.settings.read_timeout_s
        match await self._call(
            "GET", PATH_READ, query, timeout_s, accepted=(_OK, _GONE)
        ):
            case Success(response) if self._is_unreadable(response, position):
                return Success(KeyedBatch((), position, is_trimmed=True))
            case Success(response):
                batch = self._parse(
                    PATH_READ, response, lambda body: parse_batch(body, offset)
                )
                return batch.map(lambda item: _in_era(item, era_of(position)))
            case failure:
                return Failure(failure.failure())

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
        era: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": _PARTITION}
        for _ in range(_MAX_PAGES):
            match await self._call("GET", PATH_NEWEST, query, timeout_s):
                case Success(response):
                    page = self._parse(PATH_NEWEST, response, parse_page)
                case failure:
                    return Failure(failure.failure())
            if isinstance(page, Failure):
                return page
            if era is not None and era != _era_of_response(response):
                detail = f"{topic} was restored while it was read"
                return Failure(Error(ErrorKind.STORE_UNAVAILABLE, detail))
            era = _era_of_response(response)
            current = page.unwrap()
            records.extend(current.records)
            end = current.end if end is None else end
            if not current.has_more:
                return Success(_in_era(KeyedBatch(tuple(records), end), era))
            query["after"] = current.records[-1].key
        return Failure(
            Error(ErrorKind.STORE_UNAVAILABLE, f"{topic} has too many pages")
        )

    async def put(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> Result[None, Error]:
        """Appends a record with a key's new value; the call is never retried.

        :param expected_end: appends only if the topic still ends at this position, else
            fails with ``VERSION_CONFLICT``.
        :returns: a Failure of kind ``STORE_OUTCOME_UNKNOWN`` if the append may have
            taken effect; after any other kind it has not.
        """
        body = pack_record(key, value)
        query = {"topic": topic, "part": _PARTITION}
        if expected_end is not None:
            if self._era is not None and era_of(expected_end) != self._era:
                detail = f"{topic} was restored since it was read"
                return Failure(Error(ErrorKind.VERSION_CONFLICT, detail))
            query["at"] = offset_of(expected_end)
        timeout_s = self.settings.timeout_s
        match await self._call("POST", PATH_APPEND, query, timeout_s, body):
            case Success(_):
                return Success(None)
            case failure:
                return Failure(failure.failure())

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
        body: bytes | None = None,
        accepted: Collection[int] = (_OK,),
    ) -> Result[HttpResponse, Error]:
        """Makes one call, which fails if the response has no accepted status."""
        target = f"{path}?{urlencode(query)}"
        try:
            response = await self._request(method, target, timeout_s, body)
        except HttpError as error:
            self._metrics.count(STORE_CALLS, call=path, outcome="unreachable")
            kind = ErrorKind.STORE_UNAVAILABLE
            if error.may_have_been_sent:
                kind = ErrorKind.STORE_OUTCOME_UNKNOWN
            return Failure(Error(kind, str(error)))
        self._metrics.count(STORE_CALLS, call=path, outcome=str(response.status))
        self._observe_era(response)
        if response.status in accepted:
            return Success(response)
        kind = KIND_BY_STATUS.get(response.status, ErrorKind.STORE_OUTCOME_UNKNOWN)
        return Failure(Error(kind, f"{path} answered with status {response.status}"))

    async def _request(
        self, method: str, target: str, timeout_s: float, body: bytes | None
    ) -> HttpResponse:
        """Sends a request, a read again if its connection alone was silent.

        Only a new connection shows whether the store itself is lost. It must be made
        at once: otherwise the store may only just have come back.

        :raises HttpError: if there is no response.
        """
        address = self.settings.address
        try:
            return await self._http.request(method, address, target, timeout_s, body)
        except HttpError as error:
            if method != "GET" or not error.is_silent:
                raise
            log(STORE_CONNECTION_SILENT, reason=str(error))
            path = target.partition("?")[0]
            self._metrics.count(STORE_CALLS, call=path, outcome="silent")
        return await self._http.request(
            method, address, target, timeout_s, body, RECONNECT_TIMEOUT_S
        )

    def on_restored(self, era: int) -> None:
        """Called when the store has come back from a copy; its era has risen."""

    def _observe_era(self, response: HttpResponse) -> None:
        if names.HEADER_STORE_ERA.lower() not in response.headers:
            return
        era = _era_of_response(response)
        if self._era is not None and era > self._era:
            self._era = era
            self.on_restored(era)
        self._era = max(era, self._era or 0)

    def _is_unreadable(self, response: HttpResponse, position: int) -> bool:
        """Returns whether the records from a position on are not in the store."""
        is_other_era = _era_of_response(response) != era_of(position)
        return response.status == _GONE or is_other_era

    def _parse(
        self, path: str, response: HttpResponse, parse: Any
    ) -> Result[Any, Error]:
        try:
            return Success(parse(response.body))
        except ValueError as error:
            detail = f"{path}: malformed response: {error!r}"
            return Failure(Error(ErrorKind.STORE_UNAVAILABLE, detail))


def _era_of_response(response: HttpResponse) -> int:
    """Returns the store's era, 0 if a response names none or a malformed one."""
    text = response.headers.get(names.HEADER_STORE_ERA.lower(), "")
    return int(text) if _ERA.fullmatch(text) else 0


def _in_era(batch: KeyedBatch, era: int) -> KeyedBatch:
    """Returns a batch with positions instead of offsets."""
    records = batch.records
    if era:
        records = tuple(
            attrs.evolve(item, position=make_position(era, item.position))
            for item in records
        )
    return attrs.evolve(batch, records=records, end=make_position(era, batch.end))


@SERVICES.register("store")
class Store(Service, StoreClient):
    """The service ``store``: the instance's client of the store."""

    name = "store"

    def __init__(self, app: Application) -> None:
        Service.__init__(self, app)
        StoreClient.__init__(self, app.settings.get(StoreSettings), app.metrics)

    def on_restored(self, era: int) -> None:
        """Logs and emits that the store has come back from a copy."""
        log(STORE_RESTORED, era=era)
        self.app.events.emit(STORE_RESTORED_EVENT)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keeps connections to the store while the instance runs."""
        with contextlib.closing(self):
            yield

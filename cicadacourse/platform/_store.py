"""The one client of the platform's store: a log with topics, newest record by key."""

from __future__ import annotations

import base64
import contextlib
import json
import struct
from typing import Any, AsyncIterator
from urllib.parse import urlencode

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.metrics import Metrics
from cicadacourse.platform._names import PATH_APPEND, PATH_NEWEST, PATH_READ
from cicadacourse.platform._settings import STORE_CALLS, StoreSettings
from cicadacourse.util.http import HttpAnswer, HttpClient, HttpError

_OK = 200
_BAD_REQUEST = 400
_FORBIDDEN = 403
_GONE = 410
_NOT_AT_END = 412
_TOO_MANY_CALLS = 429
_BUSY = 503
_FULL = 507
_ENDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
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


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic.

    :param key: the key; empty if the record's bytes can't be read.
    :param value: the value, or None if the key was dropped.
    """

    key: str
    value: bytes | None


@attrs.frozen
class KeyedBatch:
    """Records of a topic.

    :param records: in order.
    :param end: the offset to read on from.
    :param is_trimmed: whether records before these were deleted unread.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_trimmed: bool = False


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
                return self._parsed(PATH_READ, answer, _parse_batch)
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
                    page = self._parsed(PATH_NEWEST, answer, _parse_page)
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
        body = _pack_record(key, value)
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
    ) -> Result[HttpAnswer, Error]:
        target = f"{path}?{urlencode(query)}"
        try:
            answer = await self._http.request(
                method, self.settings.address, target, timeout_s, body
            )
        except HttpError as error:
            self._metrics.count(STORE_CALLS, call=path, outcome="unreachable")
            kind = ErrorKind.STORE_UNAVAILABLE
            if error.sent:
                kind = ErrorKind.STORE_OUTCOME_UNKNOWN
            return Failure(Error(kind, str(error)))
        self._metrics.count(STORE_CALLS, call=path, outcome=str(answer.status))
        if answer.status in (_OK, _GONE):
            return Success(answer)
        kind = KIND_BY_STATUS.get(answer.status, ErrorKind.STORE_OUTCOME_UNKNOWN)
        return Failure(Error(kind, f"{path} answered {answer.status}"))

    def _parsed(self, path: str, answer: HttpAnswer, parse: Any) -> Result[Any, Error]:
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


@attrs.frozen
class _Page:
    records: tuple[KeyedRecord, ...]
    end: int
    has_more: bool


def _parse_page(body: bytes) -> _Page:
    page = json.loads(body)
    records = tuple(
        KeyedRecord(item["key"], base64.b64decode(item["value"]))
        for item in page["items"]
    )
    return _Page(records, int(page["end"]), bool(page["hasMore"]) and bool(records))


def _parse_batch(body: bytes) -> KeyedBatch:
    """Parses the end, the first kept offset, and records by their lengths.

    >>> _parse_batch(bytes(7) + b"\\x02" + bytes(8) + b"\\x00\\x00\\x00\\x03\\x01ab")
    KeyedBatch(records=(KeyedRecord(key='a', value=b'b'),), end=2, is_trimmed=False)
    """
    end, _ = _ENDS.unpack_from(body)
    at = _ENDS.size
    records = []
    while at < len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        if at + length > len(body):
            raise ValueError("a record is cut short")
        records.append(_unpack_record(body[at : at + length]))
        at += length
    return KeyedBatch(tuple(records), end)


def _unpack_record(body: bytes) -> KeyedRecord:
    """Splits a record into key and value; no value drops the key."""
    key_end = 1 + body[0] if body else 0
    if not body or key_end > len(body):
        return KeyedRecord("", b"")
    key = body[1:key_end].decode(errors="replace")
    return KeyedRecord(key, body[key_end:] or None)


def _pack_record(key: str, value: bytes) -> bytes:
    packed_key = key.encode()
    content = bytes([len(packed_key)]) + packed_key + value
    return _LENGTH.pack(len(content)) + content

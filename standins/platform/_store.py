"""A stand-in for the platform's store: a log of topics in memory, with faults."""

from __future__ import annotations

import asyncio
import base64
import copy
import random
import struct
from collections import defaultdict
from typing import Any

import attrs

from standins._refusal import Refusal

_END_AND_FIRST = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
PAGE_RECORDS = 500
BYTES_PER_KB = 1024
DEFAULT_READ_KB = 1024
OPERATORS_TOPICS = frozenset({"keyed.op", "keyed.servers"})


@attrs.define
class StoreFaults:
    """The faults that the store simulates at the moment.

    :ivar outage: how calls fail: ``busy`` (status 503), ``reset`` (the connection is
        closed) or ``silent`` (no response ever); empty if they don't.
    :ivar affected_hosts: the IP addresses whose calls fail as ``outage`` says; empty
        for those of all hosts.
    :ivar delay_s: the seconds by which each response is delayed.
    :ivar lost_response_rate: the fraction of appends that are done and get no response.
    """

    outage: str = ""
    affected_hosts: frozenset[str] = frozenset()
    delay_s: float = 0.0
    lost_response_rate: float = 0.0


@attrs.define
class _TopicLog:
    """The records of one topic, which has a single partition.

    :ivar first_offset: the offset of the first record that is not deleted.
    :ivar newest_by_key: the newest record of each key with its offset; only for keyed
        topics.
    """

    first_offset: int = 0
    records: list[bytes] = attrs.field(factory=list)
    newest_by_key: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)


class StoreCore:
    """The store without its HTTP interface: appends, long polls and reads by key.

    :param seed: seeds the choice of the appends whose response is lost.
    :ivar calls: the number of calls over HTTP so far.
    :ivar era: rises by one each time that the store comes back from a copy.
    """

    def __init__(self, seed: int = 1) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self.era = 0
        self._log_by_topic: dict[str, _TopicLog] = defaultdict(_TopicLog)
        self._appended = asyncio.Event()
        self._random = random.Random(seed)

    async def apply_faults(self, host: str) -> None:
        """Delays or fails a call as the faults say.

        Never returns if ``outage`` is ``silent`` and affects the host.

        :param host: the IP address from which the call comes.
        :raises Refusal: if ``outage`` is ``busy`` and affects the host.
        :raises ConnectionError: if ``outage`` is ``reset`` and affects the host.
        """
        self.calls += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        affected = self.faults.affected_hosts
        if not self.faults.outage or (affected and host not in affected):
            return
        if self.faults.outage == "busy":
            raise Refusal(503, detail="busy")
        if self.faults.outage == "reset":
            raise ConnectionError("reset")
        await asyncio.Event().wait()

    def append(
        self,
        topic: str,
        body: bytes,
        by_system: bool = True,
        expected_end: int | None = None,
    ) -> dict[str, Any]:
        """Appends records; returns the offset of the first one and the new end offset.

        :param by_system: whether an instance appends, rather than an operator or an
            endpoint.
        :param expected_end: the end offset that the topic must have, or None for any.
        :raises Refusal: if the topic is the operators' and ``by_system`` is set, if its
            end offset is another one, or if the body ends within a record.
        """
        if by_system and topic in OPERATORS_TOPICS:
            raise Refusal(403, detail="this topic is the operator's")
        log = self._log_by_topic[topic]
        if expected_end is not None and expected_end != log.end_offset:
            raise Refusal(412, end=log.end_offset)
        offset = log.end_offset
        for record in _split_records(body):
            self._append_record(topic, log, record)
        self._appended.set()
        self._appended = asyncio.Event()
        return {"offset": offset, "end": log.end_offset}

    def take_copy(self) -> dict[str, _TopicLog]:
        """Returns a copy of all topics, from which the store can be restored."""
        return copy.deepcopy(dict(self._log_by_topic))

    def restore(self, copied: dict[str, _TopicLog]) -> None:
        """Replaces all topics by those of a copy; what was appended since is lost."""
        self.era += 1
        self._log_by_topic.clear()
        self._log_by_topic.update(copy.deepcopy(copied))

    def should_lose_response(self) -> bool:
        """Draws whether the response to an append that was done gets lost."""
        return self._random.random() < self.faults.lost_response_rate

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Appends one keyed record as an operator or an endpoint does.

        :param value: None or empty deletes the key.
        """
        key_bytes = key.encode()
        record = bytes([len(key_bytes)]) + key_bytes + (value or b"")
        self.append(topic, _LENGTH.pack(len(record)) + record, by_system=False)

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        max_bytes: int = DEFAULT_READ_KB * BYTES_PER_KB,
    ) -> bytes:
        """Returns the end offset, the first offset and the records from an offset.

        The end is that of the topic, which may go on after the records.

        :param wait_s: the seconds to wait for a record if there is none yet.
        :param max_bytes: the records of one response have at most this size, except
            that it always holds the first one.
        :raises Refusal: if the record at the offset is deleted, or the topic ends
            before the offset.
        """
        log = self._log_by_topic[topic]
        if not log.first_offset <= offset <= log.end_offset:
            raise Refusal(410, detail="deleted")
        if offset >= log.end_offset and wait_s > 0:
            await self._wait_for_records(log, offset, wait_s)
        header = _END_AND_FIRST.pack(log.end_offset, log.first_offset)
        body = b""
        for record in log.records[offset - log.first_offset :]:
            if body and len(body) + _LENGTH.size + len(record) > max_bytes:
                break
            body += _LENGTH.pack(len(record)) + record
        return header + body

    def read_newest(self, topic: str, after: str) -> dict[str, Any]:
        """Returns a page of the newest record of each key, in order of the keys.

        :param after: the key after which the page starts; empty for the first page.
        """
        log = self._log_by_topic[topic]
        keys = sorted(key for key in log.newest_by_key if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(log.newest_by_key[key][1]).decode(),
                "offset": log.newest_by_key[key][0],
            }
            for key in keys[:PAGE_RECORDS]
        ]
        has_more = len(keys) > PAGE_RECORDS
        return {"items": items, "hasMore": has_more, "end": log.end_offset}

    def delete_records(self, topic: str) -> None:
        """Deletes a topic's records; the newest one of each key can still be read."""
        log = self._log_by_topic[topic]
        log.first_offset = log.end_offset
        log.records = []

    async def _wait_for_records(
        self, log: _TopicLog, offset: int, wait_s: float
    ) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while offset >= log.end_offset:
                    await self._appended.wait()
        except TimeoutError:
            return

    def _append_record(self, topic: str, log: _TopicLog, record: bytes) -> None:
        offset = log.end_offset
        log.records.append(record)
        if not topic.startswith("keyed."):
            return
        key_end = 1 + record[0]
        key = record[1:key_end].decode()
        if record[key_end:]:
            log.newest_by_key[key] = (offset, record[key_end:])
        else:
            log.newest_by_key.pop(key, None)


def _split_records(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise Refusal(400, detail="a record is cut short")
        records.append(body[position : position + length])
        position += length
    return records

"""The store in memory: a log with keyed topics, its rate limits and its faults."""

from __future__ import annotations

import asyncio
import base64
import random
import struct
from collections import defaultdict
from typing import Any

import attrs

from standins._refusal import Refusal

_ENDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
PAGE_RECORDS = 500
OPERATORS_TOPICS = frozenset({"keyed.op", "keyed.servers"})


@attrs.define
class StoreFaults:
    """What is wrong with the store at the moment.

    :ivar down: empty, or how it fails: ``busy``, ``reset`` or ``silent``.
    :ivar refused_hosts: IP numbers that alone meet ``down``; empty for all.
    :ivar delay_s: added to each answer, in seconds.
    :ivar lost_answers: share of the appends that are done and not answered.
    """

    down: str = ""
    refused_hosts: frozenset[str] = frozenset()
    delay_s: float = 0.0
    lost_answers: float = 0.0


@attrs.define
class _Topic:
    """The records of one topic's only partition."""

    first: int = 0
    records: list[bytes] = attrs.field(factory=list)
    newest_by_key: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class StoreCore:
    """Appends, reads that wait, and the newest record of each key.

    :param seed: seeds the choice of lost answers.
    """

    def __init__(self, seed: int = 1) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self._topic_by_name: dict[str, _Topic] = defaultdict(_Topic)
        self._changed = asyncio.Event()
        self._random = random.Random(seed)

    async def check(self, host: str) -> None:
        """Fails a call as the faults say.

        :raises Refusal: if the store is busy.
        :raises ConnectionError: if it resets the connection.
        """
        self.calls += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        refused = self.faults.refused_hosts
        if not self.faults.down or (refused and host not in refused):
            return
        if self.faults.down == "busy":
            raise Refusal(503, detail="busy")
        if self.faults.down == "reset":
            raise ConnectionError("reset")
        await asyncio.Event().wait()

    def append(
        self,
        topic: str,
        body: bytes,
        by_system: bool = True,
        expected_end: int | None = None,
    ) -> dict[str, Any]:
        """Appends records and returns the first one's offset and the new end.

        :param expected_end: only if the topic ends there.
        :raises Refusal: if the topic is the operator's, ends elsewhere, or the body is
            cut short.
        """
        if by_system and topic in OPERATORS_TOPICS:
            raise Refusal(403, detail="this topic is the operator's")
        found = self._topic_by_name[topic]
        if expected_end is not None and expected_end != found.end:
            raise Refusal(412, end=found.end)
        offset = found.end
        for record in _split(body):
            self._put(topic, found, record)
        self._changed.set()
        self._changed = asyncio.Event()
        return {"offset": offset, "end": found.end}

    def loses_answer(self) -> bool:
        """Returns whether the answer to an append that was taken gets lost."""
        return self._random.random() < self.faults.lost_answers

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Appends one keyed record as the operator or an endpoint does."""
        packed = key.encode()
        record = bytes([len(packed)]) + packed + (value or b"")
        self.append(topic, _LENGTH.pack(len(record)) + record, by_system=False)

    async def read(self, topic: str, offset: int, wait_s: float) -> bytes:
        """Returns the ends and the records from an offset, waiting for the first.

        :raises Refusal: if the records were deleted.
        """
        found = self._topic_by_name[topic]
        if offset < found.first:
            raise Refusal(410, detail="deleted")
        if offset >= found.end and wait_s > 0:
            await self._wait_for_news(found, offset, wait_s)
        body = _ENDS.pack(found.end, found.first)
        for record in found.records[offset - found.first :]:
            body += _LENGTH.pack(len(record)) + record
        return body

    def newest(self, topic: str, after: str) -> dict[str, Any]:
        """Returns a page of the newest record of each key."""
        found = self._topic_by_name[topic]
        keys = sorted(key for key in found.newest_by_key if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(found.newest_by_key[key][1]).decode(),
                "offset": found.newest_by_key[key][0],
            }
            for key in keys[:PAGE_RECORDS]
        ]
        more = len(keys) > PAGE_RECORDS
        return {"items": items, "hasMore": more, "end": found.end}

    def delete_records(self, topic: str) -> None:
        """Deletes a topic's records; the newest of each key stay."""
        found = self._topic_by_name[topic]
        found.first = found.end
        found.records = []

    async def _wait_for_news(self, topic: _Topic, offset: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while offset >= topic.end:
                    await self._changed.wait()
        except TimeoutError:
            return

    def _put(self, name: str, topic: _Topic, record: bytes) -> None:
        offset = topic.end
        topic.records.append(record)
        if not name.startswith("keyed."):
            return
        key_end = 1 + record[0]
        key = record[1:key_end].decode()
        if record[key_end:]:
            topic.newest_by_key[key] = (offset, record[key_end:])
        else:
            topic.newest_by_key.pop(key, None)


def _split(body: bytes) -> list[bytes]:
    records = []
    at = 0
    while at < len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        if at + length > len(body):
            raise Refusal(400, detail="a record is cut short")
        records.append(body[at : at + length])
        at += length
    return records

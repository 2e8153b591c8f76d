"""Finds the other instances by the configured seeds and a topic of the store."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import AsyncIterator

from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.config import InstanceSettings, parse_address
from cicadacourse.errors import Error
from cicadacourse.events import STORE_RESTORED
from cicadacourse.logs import (
    ENDPOINT_ENTRY_REFUSED,
    INSTANCE_ANNOUNCED,
    INSTANCE_NOT_ANNOUNCED,
    INSTANCES_NOT_READ,
    log,
)
from cicadacourse.membership import Contact, ContactSource
from cicadacourse.platform import _fields as fields
from cicadacourse.platform._names import TOPIC_INSTANCES
from cicadacourse.platform._records import KeyedRecord
from cicadacourse.platform._settings import ListenSettings
from cicadacourse.platform._store import Store
from cicadacourse.tasks import Tasks

# Backoff between attempts to announce this instance; doubles with each attempt.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0


@SERVICES.register("contacts")
class StoredContacts(Service, ContactSource):
    """Writes this instance's address to the store once and reads those of the others.

    The addresses may be stale; membership determines which instances are live.
    """

    name = "contacts"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._instance = app.settings.get(InstanceSettings)
        self._store: Store = app.get("store")
        self._peer_port = self._instance.peer_address.rpartition(":")[2]
        self._seeds = app.settings.get(ListenSettings).seeds
        self._tasks = Tasks(app.metrics, "contacts")
        self._task: asyncio.Task[None] | None = None
        app.events.connect(STORE_RESTORED, self._announce_again)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Announces this instance, with retries until the store accepts the record."""
        self._task = self._tasks.start(self._announce(), "announce")
        try:
            yield
        finally:
            self._task = None
            await self._tasks.cancel()

    def _announce_again(self) -> None:
        """Writes the record once more, as a restored store may have lost it."""
        if self._task is not None:
            self._task.cancel()
            self._task = self._tasks.start(self._announce(), "announce")

    async def fetch(self, timeout_s: float) -> Result[tuple[Contact, ...], Error]:
        """Returns the stored instances, and the seeds that are not stored.

        This instance is left out. If the store can't be read, that is logged and only
        the seeds are returned.
        """
        found: dict[str, Contact] = {}
        try:
            async with asyncio.timeout(timeout_s):
                match await self._store.read_newest(TOPIC_INSTANCES):
                    case Success(batch):
                        found = _decode(batch.records)
                    case Failure(error):
                        log(INSTANCES_NOT_READ, reason=error.detail)
        except TimeoutError:
            log(INSTANCES_NOT_READ, reason="timed out")
        known_addresses = {item.address for item in found.values()}
        contacts = [
            *found.values(),
            *(
                item
                for item in self._seed_contacts()
                if item.address not in known_addresses
            ),
        ]
        return Success(
            tuple(
                item for item in contacts if item.address != self._instance.peer_address
            )
        )

    def _seed_contacts(self) -> list[Contact]:
        """Returns the seeds, each with the peer port, which all instances share."""
        contacts = []
        for seed in self._seeds:
            address = f"{seed.rpartition(':')[0]}:{self._peer_port}"
            contacts.append(Contact(address, address))
        return contacts

    async def _announce(self) -> None:
        value = json.dumps({"address": self._instance.peer_address}).encode()
        backoff_s = FIRST_BACKOFF_S
        while True:
            match await self._store.put(TOPIC_INSTANCES, self._instance.name, value):
                case Success(_):
                    log(INSTANCE_ANNOUNCED)
                    return
                case Failure(error):
                    log(INSTANCE_NOT_ANNOUNCED, reason=error.detail)
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def _decode(records: tuple[KeyedRecord, ...]) -> dict[str, Contact]:
    found = {}
    for record in records:
        try:
            row = fields.parse_object(record.value or b"")
            address = parse_address(fields.string(row, "address"))
        except ValueError as error:
            log(ENDPOINT_ENTRY_REFUSED, entry=record.key, reason=repr(error))
            continue
        found[record.key] = Contact(record.key, address)
    return found

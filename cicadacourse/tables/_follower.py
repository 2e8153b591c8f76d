"""The service that keeps the tables in force by following the log."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import AsyncIterator

from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.config import InstanceSettings, option, section
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.events import TABLES_CHANGED
from cicadacourse.metrics import declare
from cicadacourse.platform import Batch
from cicadacourse.tables._fold import Fold, Outcome, OutcomeKind
from cicadacourse.tables._model import Tables
from cicadacourse.tables._publisher import READ_LIMIT, publish_edit
from cicadacourse.tables._records import STREAM, Edit
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

TABLES_VERSION = declare("tables_version", "Version of the tables in force.")
TABLES_RECORDS = declare("tables_records_total", "Records of tables, by outcome.")
TABLES_READ_FAILURES = declare(
    "tables_read_failures_total", "Reads of the stream of tables that failed."
)

PUBLISH_TIMEOUT_S = 30.0
MAX_RETRY_DELAY_S = 1.0

logger = get_logger("tables")


@section("tables")
class TablesSettings:
    """How the tables are followed."""

    log_retention_s: float = option(
        float,
        3600.0,
        unit="seconds",
        minimum=1,
        maximum=1e9,
        help="How long the log keeps a record, at the least.",
    )
    read_wait_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.01,
        maximum=60,
        help="How long the log may hold a read with nothing to return.",
    )
    read_timeout_s: float = option(
        float,
        5.0,
        unit="seconds",
        minimum=0.1,
        maximum=120,
        help="Time limit of a read; more than read_wait_s.",
    )


@SERVICES.register("tables")
class TablesFollower(Service):
    """Holds the tables in force and follows the log for newer ones."""

    name = "tables"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._settings = app.settings.get(TablesSettings)
        self._random = random.Random(app.settings.get(InstanceSettings).name)
        self._fold = Fold()
        self._current = Tables()
        self._at_end = False

    def current(self) -> Tables:
        """Returns the tables in force; version 0 if there are none yet."""
        return self._current

    def ready(self) -> bool:
        """Returns whether tables as new as the log's end or a peer's were seen."""
        return self._at_end and self._current.version > 0

    async def publish(self, edit: Edit) -> Result[int, Error]:
        """Publishes an edit; returns its version, or ``VERSION_CONFLICT``."""
        deadline = now() + PUBLISH_TIMEOUT_S
        fold = Fold(self._fold.snapshot)
        match await publish_edit(self.app.get("log"), edit, deadline, fold):
            case Failure(error):
                return Failure(error)
            case Success(published):
                pass
        if published.accepted:
            return Success(published.version)
        detail = f"based on {edit.base_version}, in force is {published.version}"
        return Failure(Error(ErrorKind.VERSION_CONFLICT, detail))

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Follows the log while the instance runs."""
        task = asyncio.create_task(self._follow())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _follow(self) -> None:
        while True:
            try:
                await self._read_once()
            except Exception:
                logger.exception("following the tables failed")
                await asyncio.sleep(MAX_RETRY_DELAY_S)

    async def _read_once(self) -> None:
        result = await self.app.get("log").read(
            STREAM,
            self._fold.position,
            READ_LIMIT,
            self._settings.read_wait_s,
            self._settings.read_timeout_s,
        )
        match result:
            case Success(batch):
                self._take(batch)
            case Failure(error):
                await self._wait_after(error)

    async def _wait_after(self, error: Error) -> None:
        self.app.metrics.count(TABLES_READ_FAILURES, reason=error.label)
        await asyncio.sleep(self._random.uniform(0.2, 1.0) * MAX_RETRY_DELAY_S)

    def _take(self, batch: Batch) -> None:
        for outcome in self._fold.feed(batch):
            self._report(outcome)
        self._put_in_force()
        if self._fold.resolved and self._fold.position >= batch.next_offset:
            self._at_end = True

    def _report(self, outcome: Outcome) -> None:
        label = outcome.kind.value
        if outcome.kind is OutcomeKind.PASSED_OVER:
            label = outcome.detail
            logger.warning("record {} is passed over: {}", outcome.offset, label)
        elif outcome.kind is OutcomeKind.INVALID:
            logger.error("edit {} is faulty: {}", outcome.edit_id, outcome.detail)
        self.app.metrics.count(TABLES_RECORDS, outcome=label)

    def _put_in_force(self) -> None:
        """Makes the fold's tables the current ones if they are newer."""
        tables = self._fold.snapshot.tables
        if tables.version <= self._current.version:
            return
        self._current = tables
        logger.info(
            "tables version {} in force, edit {}", tables.version, tables.edit_id
        )
        self.app.metrics.set(TABLES_VERSION, tables.version)
        membership = self.app.find("membership")
        if membership is not None:
            membership.set_tables_version(tables.version)
        self.app.events.emit(TABLES_CHANGED, tables)

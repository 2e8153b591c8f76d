"""The service that claims keys before calls that may run only once."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from typing import Any, AsyncIterator

import attrs
import cachetools
from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.claims._asker import Asker
from cicadacourse.claims._fold import PartitionFold
from cicadacourse.claims._keeper import Keeper
from cicadacourse.claims._messages import (
    PENDING,
    ClaimReply,
    ClaimRequest,
    OutcomeReply,
    OutcomeRequest,
    make_reply,
    read_reply,
)
from cicadacourse.claims._model import (
    CLAIMS,
    ClaimKind,
    ClaimOutcome,
    ClaimsSettings,
    get_horizon_s,
    get_key_time_ms,
    get_partition,
    get_stream,
)
from cicadacourse.claims._records import OutcomeRecord
from cicadacourse.errors import CicadacourseError, Error, ErrorKind, Run
from cicadacourse.peers import handles
from cicadacourse.tables import TablesSettings
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

WON_CLAIMS_KEPT = 20_000
OUTCOME_TIMEOUT_S = 10.0

logger = get_logger("claims")


@SERVICES.register("claims")
class Claims(Service):
    """Claims keys through the keeper of their partition, or here if it is gone."""

    name = "claims"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._settings = app.settings.get(ClaimsSettings)
        self._retention_s = app.settings.get(TablesSettings).log_retention_s
        self.key_horizon_s = get_horizon_s(
            self._settings.key_horizon_s, self._retention_s
        )
        if self.key_horizon_s < self._settings.key_horizon_s:
            logger.warning("keys are taken for {} s only", self.key_horizon_s)
        self._asker = Asker(app, self._settings.keeper_timeout_s)
        self._keepers_by_partition: dict[int, Keeper] = {}
        self._deciding_by_claim: dict[str, asyncio.Task[Result[ClaimReply, Error]]] = {}
        self._claim_id_by_request: cachetools.LRUCache[tuple[str, str], str] = (
            cachetools.LRUCache(WON_CLAIMS_KEPT)
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keeps partitions while the instance runs."""
        task = asyncio.create_task(self._drop_idle())
        try:
            yield
        finally:
            tasks = [task, *self._deciding_by_claim.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            keepers = self._keepers_by_partition.values()
            await asyncio.gather(*(keeper.stop() for keeper in keepers))

    async def claim(
        self, key: str, request_id: str, deadline: float
    ) -> Result[ClaimOutcome, Error]:
        """Claims a key for a request; only the winner may send the call.

        A claim is never taken over. An error says that the call has not run and, as
        nobody else holds this claim, will not run for this request; it is
        ``BAD_REQUEST`` for a malformed key, ``LOG_UNAVAILABLE`` if the claim is not
        in the log and ``LOG_OUTCOME_UNKNOWN`` if it may be, in which case later
        attempts with the key may lose to it.

        :param deadline: when to give up, by the event loop's clock; after
            ``settle_timeout_s`` at the latest.
        """
        try:
            get_key_time_ms(key)
        except ValueError as error:
            return Failure(Error(ErrorKind.BAD_REQUEST, str(error)))
        deadline = min(deadline, now() + self._settings.settle_timeout_s)
        claim_id = uuid.uuid4().hex
        request = ClaimRequest(key=key, claim_id=claim_id, request_id=request_id)
        match await self._asker.ask(request, self._decide, deadline):
            case Failure(error):
                self.app.metrics.count(CLAIMS, outcome=error.label)
                return Failure(attrs.evolve(error, run=Run.NOT_RUN))
            case Success(reply):
                outcome = read_reply(reply)
        self.app.metrics.count(CLAIMS, outcome=outcome.kind.value)
        if outcome.kind is ClaimKind.WON:
            self._claim_id_by_request[key, request_id] = claim_id
        return Success(outcome)

    async def record_outcome(
        self, key: str, request_id: str, status: int, body: bytes
    ) -> Result[None, Error]:
        """Records how a claimed call was answered, for later attempts to look up.

        A body over ``max_outcome_bytes`` is left out. Fails with ``BAD_REQUEST`` if
        the request did not win the key here.
        """
        claim_id = self._claim_id_by_request.get((key, request_id))
        if claim_id is None:
            detail = f"request {request_id} holds no claim of {key!r}"
            return Failure(Error(ErrorKind.BAD_REQUEST, detail))
        kept = body if len(body) <= self._settings.max_outcome_bytes else b""
        request = OutcomeRequest(
            key=key,
            claim_id=claim_id,
            status=status,
            body=kept,
        )
        deadline = now() + OUTCOME_TIMEOUT_S
        result = await self._asker.ask(request, self._decide_outcome, deadline)
        return result.map(lambda _: None)

    @handles(ClaimRequest)
    async def on_claim_request(self, request: ClaimRequest) -> ClaimReply:
        """Decides a claim as the keeper, or tells that it is pending."""
        task = self._deciding_by_claim.get(request.claim_id)
        if task is None:
            task = asyncio.create_task(self._decide(request))
            self._deciding_by_claim[request.claim_id] = task
            task.add_done_callback(
                lambda _: self._deciding_by_claim.pop(request.claim_id)
            )
        done, _ = await asyncio.wait({task}, timeout=request.wait_s)
        return _unwrap(task.result()) if done else ClaimReply(kind=PENDING)

    @handles(OutcomeRequest)
    async def on_outcome_request(self, request: OutcomeRequest) -> OutcomeReply:
        """Records an outcome as the keeper of its partition."""
        return _unwrap(await self._decide_outcome(request))

    async def _decide(self, request: ClaimRequest) -> Result[ClaimReply, Error]:
        """Decides a claim by the log."""
        keeper = self._get_keeper(request.key)
        deadline = now() + request.time_limit_s
        outcome = await keeper.claim(
            request.key, request.claim_id, request.request_id, deadline
        )
        return outcome.map(make_reply)

    async def _decide_outcome(self, request: OutcomeRequest) -> Result[Any, Error]:
        """Records an outcome in the log."""
        record = OutcomeRecord(
            key=request.key,
            claim_id=request.claim_id,
            status=request.status,
            body=request.body,
        )
        keeper = self._get_keeper(request.key)
        deadline = now() + request.time_limit_s
        recorded = await keeper.record_outcome(record, deadline)
        return recorded.map(lambda _: OutcomeReply())

    def _get_keeper(self, key: str) -> Keeper:
        """Returns the keeper of a key's partition, which reads when first asked."""
        partition = get_partition(key)
        if partition not in self._keepers_by_partition:
            self._keepers_by_partition[partition] = Keeper(
                self.app.get("log"),
                get_stream(partition),
                PartitionFold(self.key_horizon_s, self._retention_s),
                self._settings.append_interval_s,
                self.app.metrics,
            )
        keeper = self._keepers_by_partition[partition]
        keeper.asked_at = now()
        return keeper

    async def _drop_idle(self) -> None:
        """Forgets partitions that nobody asks about here any more."""
        while True:
            await asyncio.sleep(self._settings.keeper_idle_s / 2)
            before = now() - self._settings.keeper_idle_s
            for partition, keeper in list(self._keepers_by_partition.items()):
                if keeper.asked_at < before:
                    del self._keepers_by_partition[partition]
                    await keeper.stop()


def _unwrap(result: Result[Any, Error]) -> Any:
    match result:
        case Failure(error):
            raise CicadacourseError(error)
        case Success(value):
            return value

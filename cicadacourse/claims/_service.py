"""The service that claims keys before calls that may run only once."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from typing import Any, AsyncIterator, Awaitable, Callable

import cachetools
from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.claims._fold import PartitionFold
from cicadacourse.claims._keeper import Keeper
from cicadacourse.claims._messages import (
    ClaimReply,
    ClaimRequest,
    OutcomeReply,
    OutcomeRequest,
    make_reply,
    read_reply,
)
from cicadacourse.claims._model import (
    CLAIM_FALLBACKS,
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
        self._keepers_by_partition: dict[int, Keeper] = {}
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
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
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

        :param deadline: when to give up, by the event loop's clock.
        """
        try:
            get_key_time_ms(key)
        except ValueError as error:
            return Failure(Error(ErrorKind.BAD_REQUEST, str(error)))
        claim_id = uuid.uuid4().hex
        result = await self._claim_somewhere(key, claim_id, request_id, deadline)
        if isinstance(result, Failure):
            self.app.metrics.count(CLAIMS, outcome=result.failure().label)
            return result
        outcome = result.unwrap()
        self.app.metrics.count(CLAIMS, outcome=outcome.kind.value)
        if outcome.kind is ClaimKind.WON:
            self._claim_id_by_request[key, request_id] = claim_id
        return result

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
            time_limit_s=OUTCOME_TIMEOUT_S,
        )
        deadline = now() + OUTCOME_TIMEOUT_S
        result = await self._ask(key, request, self.on_outcome_request, deadline)
        return result.map(lambda _: None)

    @handles(ClaimRequest)
    async def on_claim_request(self, request: ClaimRequest) -> ClaimReply:
        """Decides a claim as the keeper of its partition."""
        keeper = self._get_keeper(request.key)
        deadline = now() + request.time_limit_s
        result = await keeper.claim(
            request.key, request.claim_id, request.request_id, deadline
        )
        return make_reply(_unwrap(result))

    @handles(OutcomeRequest)
    async def on_outcome_request(self, request: OutcomeRequest) -> OutcomeReply:
        """Records an outcome as the keeper of its partition."""
        record = OutcomeRecord(
            key=request.key,
            claim_id=request.claim_id,
            status=request.status,
            body=request.body,
        )
        keeper = self._get_keeper(request.key)
        _unwrap(await keeper.record_outcome(record, now() + request.time_limit_s))
        return OutcomeReply()

    async def _claim_somewhere(
        self, key: str, claim_id: str, request_id: str, deadline: float
    ) -> Result[ClaimOutcome, Error]:
        request = ClaimRequest(
            key=key,
            claim_id=claim_id,
            request_id=request_id,
            time_limit_s=max(0.0, deadline - now()),
        )
        result = await self._ask(key, request, self.on_claim_request, deadline)
        return result.map(read_reply)

    async def _ask(
        self,
        key: str,
        request: Any,
        decide_here: Callable[[Any], Awaitable[Any]],
        deadline: float,
    ) -> Result[Any, Error]:
        """Asks the keeper; decides here if this is the keeper or it is silent."""
        address = self._find_keeper_address(key)
        if address is not None:
            result = await self._ask_peer(address, request, deadline)
            if not _is_unreachable(result):
                return result
            self.app.metrics.count(CLAIM_FALLBACKS)
        try:
            async with asyncio.timeout_at(deadline):
                return Success(await decide_here(request))
        except CicadacourseError as error:
            return Failure(error.error)
        except TimeoutError:
            detail = "the claim was not settled in time"
            kind = ErrorKind.LOG_OUTCOME_UNKNOWN
            return Failure(Error(kind, detail, run=Run.NOT_RUN))

    async def _ask_peer(
        self, address: str, request: Any, deadline: float
    ) -> Result[Any, Error]:
        time_left_s = max(0.0, deadline - now())
        timeout_s = min(self._settings.keeper_timeout_s, time_left_s / 2)
        return await self.app.get("peers").call(address, request, timeout_s)

    def _find_keeper_address(self, key: str) -> str | None:
        """Returns the keeper's address, or None if it is this instance."""
        membership = self.app.find("membership")
        if membership is None:
            return None
        stream = get_stream(get_partition(key))
        keeper = membership.owner(stream)
        if keeper.name == membership.self_member().name:
            return None
        return keeper.peer_address

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


def _is_unreachable(result: Result[Any, Error]) -> bool:
    match result:
        case Failure(error):
            return error.kind is ErrorKind.PEER_UNREACHABLE
    return False


def _unwrap(result: Result[Any, Error]) -> Any:
    match result:
        case Failure(error):
            raise CicadacourseError(error)
        case Success(value):
            return value

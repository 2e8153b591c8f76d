"""The dispatching side: grants for the endpoints that this instance owns."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import AsyncIterator

from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.endpoints import Endpoint, SessionList
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.metrics import declare
from cicadacourse.routing._ledger import Granted, key_of
from cicadacourse.routing._messages import (
    Estimate,
    Estimates,
    GrantReply,
    GrantRequest,
    Probe,
    Returns,
    Withdrawal,
)
from cicadacourse.routing._model import Work, classify
from cicadacourse.routing._parts import Parts
from cicadacourse.routing._queue import EndpointQueue, Waiter
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

logger = get_logger("dispatcher")

HOLD_S = 1.0
PROBE_WAIT_S = 0.2
REBUILD_TIMEOUT_S = 1.0
SOONEST_LOOK_S = 0.005
IDLE_LOOK_S = 1.0
IDLE_QUEUE_KEPT_S = 600.0
MIN_RETRY_AFTER_S = 0.5

DISPATCH_QUEUED = declare("dispatch_queued", "Requests that wait for a grant here.")
DISPATCH_REFUSALS = declare(
    "dispatch_refusals_total", "Requests for grants refused here, by reason."
)
DISPATCH_GRANTS = declare("dispatch_grants_total", "Grants made here, by class.")
DISPATCH_REBUILDS = declare(
    "dispatch_rebuilds_total", "Ledgers rebuilt from an engine's session list."
)


class Dispatcher:
    """Answers probes and requests for grants on the endpoints it dispatches for.

    It serves whoever asks, also if another instance is seen as the owner: two
    dispatchers for one endpoint cost speed, and the engine's admission decides.
    """

    def __init__(self, app: Application, parts: Parts) -> None:
        self.app = app
        self.parts = parts
        self._stopped = False
        self._me = app.get("membership").self_member()
        self._numbers = itertools.count(1)
        self._queues_by_endpoint: dict[str, EndpointQueue] = {}
        self._rebuilds_by_endpoint: dict[str, asyncio.Task[None]] = {}
        self._changes_by_endpoint: dict[str, asyncio.Event] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs the queues' tasks; at the end, sends waiting requests elsewhere.

        A leaving instance goes on granting: holders turn to the next dispatcher as
        soon as they see it leave.
        """
        sessions = self.app.find("sessions")
        if sessions is not None:
            sessions.watch(self.reconcile)
        try:
            yield
        finally:
            self._stopped = True
            for queue in self._queues_by_endpoint.values():
                queue.clear()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def probe(self, probe: Probe) -> Estimates:
        """Estimates the first token's time on each endpoint it can serve."""
        opening = [self._ready_queue(name, probe.work) for name in probe.endpoints]
        tasks = [self._spawn(one) for one in opening]
        await asyncio.wait(tasks, timeout=PROBE_WAIT_S)
        queues = (self._queues_by_endpoint.get(name) for name in probe.endpoints)
        return Estimates(
            estimates=tuple(
                _estimate(name, queue, probe.work)
                for name, queue in zip(probe.endpoints, queues)
                if queue is not None
            )
        )

    async def request(self, request: GrantRequest) -> GrantReply:
        """Grants, says that the request still waits, or refuses.

        :raises CicadacourseError: with the reason of the refusal.
        """
        if self._stopped:
            raise self._refusal(ErrorKind.LEAVING, "the dispatcher is leaving", 0.0)
        queue = await self._ready_queue(request.endpoint, request.work)
        if queue is None:
            detail = f"endpoint {request.endpoint!r} does not answer"
            raise self._refusal(ErrorKind.ENDPOINT_UNREACHABLE, detail, 1.0)
        key = key_of(request.work)
        granted = queue.ledger.find(key)
        if granted is None:
            waiter = self._join(queue, request)
            granted = await self._wait(queue, waiter, request.endpoint)
        if granted is None:
            return GrantReply()
        return GrantReply(
            session=granted.session,
            priority=queue.priority(granted.prompt_class),
            start_within_s=max(0.0, granted.start_by - now()),
        )

    def withdraw(self, withdrawal: Withdrawal) -> None:
        """Takes a request back, whether it waits or was granted."""
        queue = self._queues_by_endpoint.get(withdrawal.endpoint)
        if queue is not None:
            queue.withdraw(f"{withdrawal.request_id}/{withdrawal.attempt}", now())
            self._changed(withdrawal.endpoint)

    def take_back(self, returns: Returns) -> None:
        """Frees the memory of grants that are used no more."""
        for returned in returns.grants:
            queue = self._queues_by_endpoint.get(returned.endpoint)
            if queue is not None and queue.take_back(returned.session, now()):
                self._changed(returned.endpoint)

    def reconcile(self, endpoint: Endpoint, listed: SessionList) -> None:
        """Sets an endpoint's ledger right by the engine's own list."""
        queue = self._queues_by_endpoint.get(endpoint.name)
        if queue is not None:
            queue.ledger.reconcile(listed, queue.pool.long_prompt_tokens, now())
            self._changed(endpoint.name)

    def _join(self, queue: EndpointQueue, request: GrantRequest) -> Waiter:
        time = now()
        waiter = queue.find(key_of(request.work))
        if waiter is not None:
            waiter.asked_at = time
            return waiter
        self._check_deadline(queue, request, time)
        if len(queue) >= queue.pool.queue_limit:
            wait_s = queue.first_token_s(request.work, time)
            raise self._refusal(ErrorKind.OVERLOADED, "the queue is full", wait_s)
        waiter = Waiter(
            work=request.work,
            prompt_class=classify(request.work, queue.pool),
            kv_tokens=request.work.kv_tokens,
            deadline=time + request.time_left_s,
            latest_start=self._latest_start(queue, request, time),
            arrived_at=time,
            asked_at=time,
            granted=asyncio.get_running_loop().create_future(),
        )
        queue.join(waiter)
        queue.grant_ready(time)
        self._changed(request.endpoint)
        return waiter

    def _check_deadline(
        self, queue: EndpointQueue, request: GrantRequest, time: float
    ) -> None:
        if not self.parts.deadlines:
            return
        needed_s = queue.needed_s(request.work, time)
        if needed_s > request.time_left_s:
            detail = f"needs {needed_s:.1f} s of {request.time_left_s:.1f} s left"
            late_s = needed_s - request.time_left_s
            raise self._refusal(ErrorKind.DEADLINE_UNREACHABLE, detail, late_s)

    def _latest_start(
        self, queue: EndpointQueue, request: GrantRequest, time: float
    ) -> float:
        deadline = time + request.time_left_s
        if not self.parts.deadlines:
            return deadline
        return deadline - queue.service_s(request.work)

    async def _wait(
        self, queue: EndpointQueue, waiter: Waiter, endpoint_name: str
    ) -> Granted | None:
        await asyncio.wait([waiter.granted], timeout=HOLD_S)
        if waiter.granted.cancelled():
            raise self._gone(queue, waiter, endpoint_name)
        if not waiter.granted.done():
            return None
        granted = waiter.granted.result()
        self.app.metrics.count(DISPATCH_GRANTS, prompt_class=granted.prompt_class.value)
        return granted

    def _gone(
        self, queue: EndpointQueue, waiter: Waiter, endpoint_name: str
    ) -> CicadacourseError:
        if self._stopped:
            return self._refusal(ErrorKind.LEAVING, "the dispatcher is leaving", 0.0)
        detail = f"endpoint {endpoint_name!r} got no room for it in time"
        wait_s = queue.first_token_s(waiter.work, now())
        return self._refusal(ErrorKind.DEADLINE_UNREACHABLE, detail, wait_s)

    def _refusal(
        self, kind: ErrorKind, detail: str, retry_after_s: float
    ) -> CicadacourseError:
        self.app.metrics.count(DISPATCH_REFUSALS, reason=kind.value)
        retry_after_s = max(retry_after_s, MIN_RETRY_AFTER_S)
        return CicadacourseError(Error(kind, detail, retry_after_s=retry_after_s))

    async def _ready_queue(self, name: str, work: Work) -> EndpointQueue | None:
        """Returns an endpoint's queue once its ledger is rebuilt, or None."""
        endpoint = self.app.get("directory").find(name)
        pool = self.app.get("tables").current().pools_by_name.get(work.pool)
        if endpoint is None or pool is None:
            return None
        if name not in self._rebuilds_by_endpoint:
            queue = EndpointQueue(pool, self.parts, self._new_session, now())
            rebuild = self._rebuild(endpoint, queue)
            self._rebuilds_by_endpoint[name] = self._spawn(rebuild)
        await asyncio.wait([self._rebuilds_by_endpoint[name]])
        queue = self._queues_by_endpoint.get(name)
        if queue is not None and queue.pool is not pool:
            queue.set_pool(pool)
        return queue

    async def _rebuild(self, endpoint: Endpoint, queue: EndpointQueue) -> None:
        """Fills a new ledger from the engine's own list, then opens the queue."""
        client = self.app.get("endpoint_client")
        match await client.sessions(endpoint, REBUILD_TIMEOUT_S):
            case Success(listed):
                queue.ledger.reconcile(listed, queue.pool.long_prompt_tokens, now())
            case Failure(error):
                logger.warning("no session list of {}: {}", endpoint.name, error.detail)
                del self._rebuilds_by_endpoint[endpoint.name]
                return
        self.app.metrics.count(DISPATCH_REBUILDS)
        self._queues_by_endpoint[endpoint.name] = queue
        self._changes_by_endpoint[endpoint.name] = asyncio.Event()
        self._spawn(self._serve(endpoint.name, queue))

    async def _serve(self, name: str, queue: EndpointQueue) -> None:
        """Makes grants whenever the queue changes or time lets more of them fit.

        A queue that has long been out of use is dropped, as endpoints come and go.
        """
        changed = self._changes_by_endpoint[name]
        used_at = now()
        while now() - used_at < IDLE_QUEUE_KEPT_S:
            ready_in_s = queue.ready_in_s(now())
            timeout_s = IDLE_LOOK_S if ready_in_s is None else ready_in_s
            timeout_s = min(max(timeout_s, SOONEST_LOOK_S), IDLE_LOOK_S)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), timeout_s)
            changed.clear()
            queue.grant_ready(now())
            self._count_queued()
            if len(queue) or self._is_granted(name, queue):
                used_at = now()
        # Nothing is awaited since the last look, so nobody has joined meanwhile.
        self._drop_queue(name)

    def _is_granted(self, name: str, queue: EndpointQueue) -> bool:
        """Whether grants are out; those of an endpoint that has gone do not count."""
        known = self.app.get("directory").find(name) is not None
        return known and len(queue.ledger) > 0

    def _drop_queue(self, name: str) -> None:
        del self._queues_by_endpoint[name]
        del self._changes_by_endpoint[name]
        self._rebuilds_by_endpoint.pop(name, None)

    def _changed(self, name: str) -> None:
        self._changes_by_endpoint[name].set()

    def _count_queued(self) -> None:
        queues = self._queues_by_endpoint.values()
        self.app.metrics.set(DISPATCH_QUEUED, sum(map(len, queues)))

    def _new_session(self, work: Work) -> str:
        number = next(self._numbers)
        origin = f"{self._me.name}.{self._me.incarnation:x}"
        return f"{work.request_id}.{work.attempt}.{origin}.{number}"

    def _spawn(self, coroutine: object) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _estimate(name: str, queue: EndpointQueue, work: Work) -> Estimate:
    time = now()
    return Estimate(
        endpoint=name,
        first_token_s=queue.first_token_s(work, time),
        interference_s=queue.interference_s(work, time),
    )

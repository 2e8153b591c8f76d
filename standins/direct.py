"""The endpoint client over the stand-ins' cores in the same process."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator, Awaitable, Callable, Mapping, TypeVar

from returns.result import Failure, Result, Success

from cicadacourse.application import Application
from cicadacourse.config import InstanceSettings
from cicadacourse.endpoints import (
    Endpoint,
    EndpointClient,
    EngineLoad,
    EngineSession,
    EngineState,
    KvExport,
    Lines,
    Order,
    SessionList,
    StreamLine,
)
from cicadacourse.errors import CicadacourseError, Error, ErrorKind, Run
from cicadacourse.util.tokens import count_tokens
from standins import engine as engines
from standins._refusal import Refusal
from standins.engine import EngineCore
from standins.service import CallRequest, ServiceCore

T = TypeVar("T")


class DirectEndpointClient(EndpointClient):
    """Calls engines and services in memory; works under a paused clock.

    :param engines_by_address: cores by the address of their endpoint.
    :param services_by_address: the same for plain services.
    """

    def __init__(
        self,
        app: Application,
        engines_by_address: Mapping[str, EngineCore],
        services_by_address: Mapping[str, ServiceCore] | None = None,
    ) -> None:
        super().__init__(app)
        self.engines_by_address = engines_by_address
        self.services_by_address = services_by_address or {}

    @contextlib.asynccontextmanager
    async def generate(
        self,
        endpoint: Endpoint,
        grant: Any,
        work: Any,
        prompt: str,
        emitted: str,
        time_left_s: float,
    ) -> AsyncIterator[Lines]:
        members = tuple(
            engines.MemberRef(member.endpoint.address, member.session)
            for member in grant.members
        )
        request = engines.GenerateRequest(
            session=grant.session,
            request=work.request_id,
            attempt=work.attempt,
            owner=self.app.settings.get(InstanceSettings).name,
            prompt=prompt,
            emitted=emitted,
            max_tokens=count_tokens(emitted) + work.max_output_tokens,
            priority=grant.priority,
            time_limit_s=time_left_s,
            members=members,
        )
        lines = self._engine(endpoint).generate(request)
        async with contextlib.aclosing(_lines(endpoint, lines)) as read:
            yield read

    @contextlib.asynccontextmanager
    async def resume(
        self, endpoint: Endpoint, session: str, position: int, time_left_s: float
    ) -> AsyncIterator[Lines]:
        lines = self._engine(endpoint).stream(session, position)
        async with contextlib.aclosing(_lines(endpoint, lines)) as read:
            yield read

    async def call(
        self,
        endpoint: Endpoint,
        request_id: str,
        attempt: int,
        organisation: str,
        body: Any,
        time_left_s: float,
    ) -> Result[Any, Error]:
        request = CallRequest(
            request=request_id, attempt=attempt, organisation=organisation, body=body
        )
        service = self.services_by_address[endpoint.address]

        async def run() -> Any:
            # The service goes on with a call whose caller has left.
            task = asyncio.ensure_future(service.call(request))
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
            return (await asyncio.shield(task)).result

        return await _ask(endpoint, run, time_left_s)

    async def release(
        self, endpoint: Endpoint, session: str, timeout_s: float
    ) -> Result[None, Error]:
        core = self._engine(endpoint)
        return await _ask(endpoint, lambda: core.release(session), timeout_s)

    async def sessions(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[SessionList, Error]:
        answer = await _ask(endpoint, self._engine(endpoint).sessions, timeout_s)
        return answer.map(_to_session_list)

    async def reserve(
        self,
        endpoint: Endpoint,
        session: str,
        owner: str,
        kv_tokens: int,
        time_limit_s: float,
        timeout_s: float,
    ) -> Result[None, Error]:
        core = self._engine(endpoint)
        request = engines.Reservation(
            session=session,
            owner=owner,
            kv_tokens=kv_tokens,
            time_limit_s=time_limit_s,
        )
        answer = await _ask(endpoint, lambda: core.reserve(request), timeout_s)
        return answer.map(_to_nothing)

    async def prefill(
        self,
        endpoint: Endpoint,
        session: str,
        prompt: str,
        offset: int,
        timeout_s: float,
    ) -> Result[None, Error]:
        core = self._engine(endpoint)
        request = engines.Prefill(session=session, prompt=prompt, offset=offset)
        answer = await _ask(endpoint, lambda: core.prefill(request), timeout_s)
        return answer.map(_to_nothing)

    async def export(
        self, endpoint: Endpoint, session: str, timeout_s: float
    ) -> Result[KvExport, Error]:
        core = self._engine(endpoint)
        answer = await _ask(endpoint, lambda: core.export(session), timeout_s)
        return answer.map(lambda export: KvExport(export.handle, export.kv_tokens))

    async def import_kv(
        self,
        endpoint: Endpoint,
        session: str,
        from_address: str,
        handle: str,
        owner: str,
        time_limit_s: float,
        timeout_s: float,
    ) -> Result[None, Error]:
        core = self._engine(endpoint)
        request = engines.Import(
            session=session,
            from_address=from_address,
            handle=handle,
            owner=owner,
            time_limit_s=time_limit_s,
        )
        answer = await _ask(endpoint, lambda: core.import_kv(request), timeout_s)
        return answer.map(_to_nothing)

    async def load(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[EngineLoad, Error]:
        answer = await _ask(endpoint, self._engine(endpoint).load, timeout_s)
        return answer.map(_to_load)

    async def state(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[EngineState, Error]:
        answer = await _ask(endpoint, self._engine(endpoint).state, timeout_s)
        return answer.map(_to_state)

    async def order(
        self, endpoint: Endpoint, order: Order, timeout_s: float
    ) -> Result[None, Error]:
        core = self._engine(endpoint)
        wanted = engines.Order(
            token=order.token,
            holder=order.holder,
            model=order.model,
            model_version=order.model_version,
            adapter=order.adapter,
            role=order.role,
        )
        answer = await _ask(endpoint, lambda: core.order(wanted), timeout_s)
        return answer.map(_to_nothing)

    def _engine(self, endpoint: Endpoint) -> EngineCore:
        return self.engines_by_address[endpoint.address]


async def _ask(
    endpoint: Endpoint, call: Callable[[], Awaitable[T]], timeout_s: float
) -> Result[T, Error]:
    try:
        async with asyncio.timeout(timeout_s):
            return Success(await call())
    except (Refusal, ConnectionError, TimeoutError) as error:
        return Failure(_to_error(endpoint, error))


async def _lines(endpoint: Endpoint, lines: AsyncIterator[engines.Line]) -> Lines:
    try:
        async with contextlib.aclosing(lines):
            async for line in lines:
                yield StreamLine(
                    line.session,
                    line.request,
                    line.attempt,
                    line.position,
                    line.text,
                    line.end,
                )
    except (Refusal, ConnectionError) as error:
        raise CicadacourseError(_to_error(endpoint, error)) from error


def _to_error(endpoint: Endpoint, error: Exception) -> Error:
    """Returns the error that the HTTP client would make of the same answer."""
    if isinstance(error, ConnectionRefusedError):
        return Error(ErrorKind.ENDPOINT_UNREACHABLE, endpoint.name)
    if not isinstance(error, Refusal) or error.run != Run.NOT_RUN.value:
        return Error(ErrorKind.ENDPOINT_FAILED, f"{endpoint.name}: {error!r}")
    if "last_token" in error.fields:
        return Error(ErrorKind.FENCED, endpoint.name)
    return Error(
        ErrorKind.ENDPOINT_REFUSED,
        endpoint.name,
        error.fields.get("reason", f"status_{error.status}"),
        retry_after_s=error.retry_after_s,
    )


def _to_nothing(answer: Any) -> None:
    """Drops an answer that says no more than that it was done."""


def _to_session_list(listed: engines.SessionList) -> SessionList:
    rows = tuple(
        EngineSession(
            row.session,
            row.owner,
            row.state,
            row.kv_tokens,
            row.age_s,
            row.time_limit_s,
        )
        for row in listed.sessions
    )
    return SessionList(rows, listed.kv_used, listed.kv_capacity)


def _to_load(load: engines.Load) -> EngineLoad:
    return EngineLoad(
        load.kv_used, load.kv_capacity, load.running, load.waiting, load.measured_at
    )


def _to_state(state: engines.State) -> EngineState:
    return EngineState(
        model=state.model,
        model_version=state.model_version,
        adapter=state.adapter,
        role=state.role,
        checks_fencing=state.checks_fencing,
        last_token=state.last_token,
        loading=state.loading,
    )

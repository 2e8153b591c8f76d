"""The calls that engines and plain services take."""

from __future__ import annotations

import abc
from typing import Any, AsyncContextManager, AsyncIterator, TypeAlias

from returns.result import Result

from cicadacourse.application import Service
from cicadacourse.endpoints._model import (
    Endpoint,
    EngineLoad,
    EngineState,
    GrantView,
    KvExport,
    Order,
    SessionList,
    StreamLine,
    WorkView,
)
from cicadacourse.errors import Error

Lines: TypeAlias = AsyncIterator[StreamLine]


class EndpointClient(Service):
    """Calls endpoints; the service is named ``endpoint_client``.

    Every call fails with ``ENDPOINT_UNREACHABLE`` if nothing reached the endpoint,
    with ``ENDPOINT_REFUSED`` if it said that it did not act, and with
    ``ENDPOINT_FAILED`` if it may have acted. Streams raise these errors in a
    :class:`~cicadacourse.errors.CicadacourseError`.
    """

    name = "endpoint_client"

    @abc.abstractmethod
    def generate(
        self,
        endpoint: Endpoint,
        grant: GrantView,
        work: WorkView,
        prompt: str,
        emitted: str,
        time_left_s: float,
    ) -> AsyncContextManager[Lines]:
        """Opens a session and streams its lines; leaving the context stops reading.

        :param emitted: the text that was delivered already; positions go on behind it.
        """

    @abc.abstractmethod
    def resume(
        self, endpoint: Endpoint, session: str, position: int, time_left_s: float
    ) -> AsyncContextManager[Lines]:
        """Streams a session that runs, or is still kept, from a position."""

    @abc.abstractmethod
    async def call(
        self,
        endpoint: Endpoint,
        request_id: str,
        attempt: int,
        organisation: str,
        body: Any,
        time_left_s: float,
    ) -> Result[Any, Error]:
        """Calls a plain service once and returns its result."""

    @abc.abstractmethod
    async def release(
        self, endpoint: Endpoint, session: str, timeout_s: float
    ) -> Result[None, Error]:
        """Cancels and releases a session; idempotent."""

    @abc.abstractmethod
    async def sessions(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[SessionList, Error]:
        """Returns the engine's own list of its sessions."""

    @abc.abstractmethod
    async def reserve(
        self,
        endpoint: Endpoint,
        session: str,
        owner: str,
        kv_tokens: int,
        time_limit_s: float,
        timeout_s: float,
    ) -> Result[None, Error]:
        """Reserves KV memory, all or nothing, for a limited time."""

    @abc.abstractmethod
    async def prefill(
        self,
        endpoint: Endpoint,
        session: str,
        prompt: str,
        offset: int,
        timeout_s: float,
    ) -> Result[None, Error]:
        """Fills a reserved session with a slice of a prompt.

        :param offset: where the slice starts in the whole prompt, in tokens.
        """

    @abc.abstractmethod
    async def export(
        self, endpoint: Endpoint, session: str, timeout_s: float
    ) -> Result[KvExport, Error]:
        """Makes a session's KV cache ready for import elsewhere."""

    @abc.abstractmethod
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
        """Imports exported KV cache from another engine into a new session."""

    @abc.abstractmethod
    async def load(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[EngineLoad, Error]:
        """Returns the engine's load report, which lags."""

    @abc.abstractmethod
    async def state(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[EngineState, Error]:
        """Returns what the engine serves now."""

    @abc.abstractmethod
    async def order(
        self, endpoint: Endpoint, order: Order, timeout_s: float
    ) -> Result[None, Error]:
        """Orders a state; fails with ``FENCED`` if the engine refuses the token."""

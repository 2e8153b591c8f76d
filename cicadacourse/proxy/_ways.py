"""The ways by which an instance gets a connection to an endpoint."""

from __future__ import annotations

import contextlib
import itertools

import attrs

from cicadacourse.application import Application
from cicadacourse.config import InstanceSettings
from cicadacourse.eligibility import AllowedRegions
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import (
    EndpointConnection,
    EndpointConnector,
    EndpointRequest,
    SendFailure,
)
from cicadacourse.logs import PEER_NOT_USED, log
from cicadacourse.membership import Member
from cicadacourse.metrics import declare
from cicadacourse.peers import PeersSettings
from cicadacourse.proxy._messages import REASON_LINK_LOST
from cicadacourse.proxy._proxied_connection import ProxiedConnection
from cicadacourse.reachability import Reachability
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

PEERS_NOT_USED = declare(
    "proxy_peers_not_used_total",
    "Instances asked in vain for a connection to an endpoint, by reason.",
)

# All ways together are tried for this long. A direct connection is tried for 0.38 s.
CONNECT_TIMEOUT_S = 0.46
MAX_PEERS_ASKED = 3
PEER_TIMEOUT_S = 0.15
# The part of a message that is left for what goes with the body of a request.
MESSAGE_MARGIN_BYTES = 65_536

REASON_UNREACHABLE = "unreachable"
REASON_SILENT = "silent"
# The reasons of a peer that show that it has no link to the endpoint.
NO_LINK_REASONS = (REASON_UNREACHABLE, REASON_LINK_LOST, REASON_SILENT)


@attrs.frozen
class ConnectAttempt:
    """What a connection is wanted for.

    :param started: when it was wanted first, loop time in seconds.
    :param regions: the regions that may serve the request.
    """

    request: EndpointRequest
    is_idempotent: bool
    started: float
    regions: AllowedRegions = None

    @property
    def time_left_s(self) -> float:
        """How long further ways may take, in seconds."""
        return self.started + CONNECT_TIMEOUT_S - now()


@attrs.define(eq=False)
class OpenConnection:
    """A connection, and the contexts that end with its exchange."""

    connection: EndpointConnection
    contexts: contextlib.AsyncExitStack


class Ways:
    """Makes connections in each way, and records whether that worked.

    :param tasks: the tasks of the service.
    :ivar proxied: the connections at other instances that are in use.
    """

    def __init__(self, app: Application, tasks: Tasks) -> None:
        self.proxied: set[ProxiedConnection] = set()
        self._app = app
        self._tasks = tasks
        self._connector: EndpointConnector = app.get("endpoint_connector")
        self._reachability: Reachability = app.get("reachability")
        self._own_name = app.settings.get(InstanceSettings).name
        max_bytes = app.settings.get(PeersSettings).max_message_bytes
        self._max_body_bytes = max_bytes - MESSAGE_MARGIN_BYTES
        self._started = f"{now():.3f}"
        self._numbers = itertools.count(1)

    def has_kept_connection(self, attempt: ConnectAttempt) -> bool:
        """Returns whether a kept connection of this instance may be used now."""
        request = attempt.request
        if request.needs_new_connection:
            return False
        return self._connector.has_kept_connection(
            request.endpoint, attempt.is_idempotent
        )

    def peers_for(self, attempt: ConnectAttempt) -> list[Member]:
        """Returns the instances to ask for a connection, the best first.

        A restricted request passes no instance outside of its regions. This instance's
        own region may be none of them, nor the caller's.
        """
        if len(attempt.request.caller.body) > self._max_body_bytes:
            return []
        peers = self._reachability.peers_for(attempt.request.endpoint)
        if attempt.regions is not None:
            peers = [item for item in peers if item.region in attempt.regions]
        return peers[:MAX_PEERS_ASKED]

    async def connect_directly(
        self, attempt: ConnectAttempt, needs_new_connection: bool
    ) -> OpenConnection | None:
        """Returns a direct connection, or None if there is no link."""
        endpoint = attempt.request.endpoint
        contexts = contextlib.AsyncExitStack()
        try:
            connection = await contexts.enter_async_context(
                self._connector.connect(
                    endpoint, attempt.is_idempotent, needs_new_connection
                )
            )
        except SendFailure:
            self._reachability.record_not_connected(endpoint)
            return None
        if not connection.is_kept:
            self._reachability.record_connected(endpoint)
        return OpenConnection(connection, contexts)

    async def connect_at_peers(
        self, attempt: ConnectAttempt, peers: list[Member]
    ) -> OpenConnection | None:
        """Returns a connection at the first instance that has a link, or None."""
        for peer in peers:
            timeout_s = min(PEER_TIMEOUT_S, attempt.time_left_s)
            if timeout_s <= 0:
                break
            opened = await self._connect_at(peer, attempt, timeout_s)
            if opened is not None:
                return opened
        return None

    async def _connect_at(
        self, peer: Member, attempt: ConnectAttempt, timeout_s: float
    ) -> OpenConnection | None:
        endpoint = attempt.request.endpoint
        exchange_id = f"{self._own_name}-{self._started}-{next(self._numbers)}"
        connection = ProxiedConnection(
            self._app, peer, endpoint, exchange_id, self._tasks
        )
        async with contextlib.AsyncExitStack() as contexts:
            contexts.callback(connection.close)
            error = await connection.open(
                attempt.request, attempt.is_idempotent, timeout_s
            )
            if error is None:
                self._reachability.record_reached_by_peer(
                    endpoint, peer.name, connection.is_kept
                )
                self.proxied.add(connection)
                contexts.callback(self.proxied.discard, connection)
                return OpenConnection(connection, contexts.pop_all())
        self._report_not_used(peer, attempt, error)
        return None

    def _report_not_used(
        self, peer: Member, attempt: ConnectAttempt, error: Error
    ) -> None:
        is_silent = error.kind is ErrorKind.PEER_UNREACHABLE
        reason = REASON_SILENT if is_silent else error.label
        endpoint = attempt.request.endpoint
        if reason in NO_LINK_REASONS:
            self._reachability.record_not_reached_by_peer(endpoint, peer.name)
        self._app.metrics.count(PEERS_NOT_USED, reason=reason)
        log(
            PEER_NOT_USED,
            request=attempt.request.caller.id,
            endpoint=endpoint.id,
            peer=peer.name,
            reason=reason,
            detail=error.detail,
        )

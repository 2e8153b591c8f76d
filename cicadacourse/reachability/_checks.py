"""Finds out for other instances whether this one reaches an endpoint, and asks them."""

from __future__ import annotations

import asyncio
import random
from typing import Sequence

import attrs
from returns.result import Success

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint, EndpointState, ProcessKey
from cicadacourse.exchange import EndpointConnector, SendFailure
from cicadacourse.membership import Member
from cicadacourse.reachability._messages import CheckEndpoint, EndpointChecked

# The time limit of a question. A connection that is made takes a few milliseconds, one
# whose first packet is lost 0.1 s.
ASK_TIMEOUT_S = 0.15
# So many instances are asked whether a process has ended.
MAX_WITNESSES = 3
# How long the other answers are awaited once one instance was refused as well. One that
# reaches the process needs a connection more to know that.
REFUSED_GRACE_S = 0.05
# So many other endpoints are tried before a refused connection counts. Two may end at
# the same time.
MAX_CONTROLS = 2
# Bounds the connections that are tried for others at a time.
MAX_CHECKS = 16

_UNKNOWN = EndpointChecked()


@attrs.define(eq=False)
class EndpointChecks:
    """Tries connections for other instances; those that ask at once share a try."""

    app: Application
    _task_by_request: dict[CheckEndpoint, asyncio.Task[EndpointChecked]] = attrs.field(
        factory=dict
    )

    async def check(self, request: CheckEndpoint) -> EndpointChecked:
        """Returns whether this instance reaches a process of an endpoint.

        A cancelled call doesn't end the try.
        """
        task = self._task_by_request.get(request)
        if task is None:
            if len(self._task_by_request) >= MAX_CHECKS:
                return _UNKNOWN
            task = asyncio.create_task(self._check(request))
            self._task_by_request[request] = task
            task.add_done_callback(lambda _: self._task_by_request.pop(request))
        return await asyncio.shield(task)

    async def _check(self, request: CheckEndpoint) -> EndpointChecked:
        endpoint = self.app.get("catalog").registry.find(request.endpoint_id)
        if endpoint is None:
            return _UNKNOWN
        if not endpoint.may_be(ProcessKey.parse(request.process_key)):
            return EndpointChecked(is_refused=True)
        links = self.app.get("reachability")
        if not request.is_refused and links.has_connected_lately(endpoint):
            return EndpointChecked(is_reached=True)
        if not request.is_refused and links.has_failed_lately(endpoint):
            return _UNKNOWN
        connector: EndpointConnector = self.app.get("endpoint_connector")
        if request.is_refused and await connector.is_refused(endpoint):
            return EndpointChecked(is_refused=await self.reaches_another(endpoint))
        return EndpointChecked(is_reached=await try_connection(self.app, endpoint))

    async def reaches_another(self, refusing: Endpoint) -> bool:
        """Returns whether this instance connects to any other endpoint now.

        If it doesn't, its links may be lost, and a refused connection proves nothing.
        True if there is no other endpoint to try.
        """
        endpoints = self.app.get("catalog").registry.all()
        others = [
            item
            for item in endpoints
            if item.state is EndpointState.READY and item.id != refusing.id
        ]
        for endpoint in random.sample(others, min(MAX_CONTROLS, len(others))):
            if await try_connection(self.app, endpoint):
                return True
        return not others

    async def ask(
        self, peer: Member, endpoint: Endpoint, is_refused: bool
    ) -> EndpointChecked:
        """Asks another instance, records and returns its answer.

        :param is_refused: whether the endpoint's host refused the own connection.
        """
        request = CheckEndpoint(
            endpoint_id=endpoint.id,
            process_key=endpoint.process_key,
            is_refused=is_refused,
        )
        result = await self.app.get("peers").call(
            peer.peer_address, request, ASK_TIMEOUT_S
        )
        links = self.app.get("reachability")
        match result:
            case Success(EndpointChecked() as answer):
                pass
            case _:
                answer = _UNKNOWN
        if answer.is_reached:
            links.record_reached_by_peer(endpoint, peer.name)
        else:
            links.record_not_reached_by_peer(endpoint, peer.name)
        return answer

    async def is_refused_by_any(
        self, endpoint: Endpoint, peers: Sequence[Member]
    ) -> bool:
        """Returns whether a process refuses other instances as well, by their answers.

        One that reaches it decides; without any answer it is not known to refuse.
        """
        asks = [
            asyncio.create_task(self.ask(peer, endpoint, is_refused=True))
            for peer in peers[:MAX_WITNESSES]
        ]
        pending, timeout_s, is_refused = set(asks), None, False
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                answers = [item.result() for item in done]
                if any(item.is_reached for item in answers):
                    return False
                is_refused = is_refused or any(item.is_refused for item in answers)
                if not done:
                    break
                timeout_s = REFUSED_GRACE_S if is_refused else None
            return is_refused
        finally:
            for item in asks:
                item.cancel()


async def try_connection(app: Application, endpoint: Endpoint) -> bool:
    """Tries a new direct connection, records and returns whether it was made.

    The connection is kept for use if the connector allows that.
    """
    connector: EndpointConnector = app.get("endpoint_connector")
    links = app.get("reachability")
    try:
        async with connector.connect(endpoint, True, needs_new_connection=True):
            links.record_connected(endpoint)
            return True
    except SendFailure:
        # The state of the links is logged on a change.
        links.record_not_connected(endpoint)
        return False

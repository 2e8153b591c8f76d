"""Fetches newer tables from peers and tells peers about newer tables."""

from __future__ import annotations

import asyncio
import random
from typing import Any, Callable

from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.config import InstanceSettings
from cicadacourse.metrics import declare
from cicadacourse.tables._messages import Announcement, SnapshotRequest, read_reply
from cicadacourse.tables._state import Snapshot
from cicadacourse.util.logging import get_logger

TABLES_EXCHANGES = declare(
    "tables_exchanges_total", "Requests to peers for newer tables, by outcome."
)

ANNOUNCE_PEERS = 3
CALL_TIMEOUT_S = 1.0

logger = get_logger("tables")


class Exchange:
    """One instance's exchange of tables with its peers.

    :param app: its application; without ``peers`` and ``membership`` nothing is done.
    :param get_snapshot: returns the own snapshot.
    :param adopt: takes a peer's snapshot, if it is newer.
    """

    def __init__(
        self,
        app: Application,
        get_snapshot: Callable[[], Snapshot],
        adopt: Callable[[Snapshot], None],
        rng: random.Random,
    ) -> None:
        self._app = app
        self._get_snapshot = get_snapshot
        self._adopt = adopt
        self._random = rng
        self._address = app.settings.get(InstanceSettings).peer_address
        self._announcing: set[asyncio.Task[None]] = set()

    def get_peers(self) -> list[Any]:
        """Returns the other members, as the service ``membership`` lists them."""
        membership = self._app.find("membership")
        if membership is None or self._app.find("peers") is None:
            return []
        members = membership.members()
        return [one for one in members if one.peer_address != self._address]

    async def pull_any(self) -> None:
        """Asks one peer, chosen at random, for newer tables."""
        peers = self.get_peers()
        if peers:
            await self.pull(self._random.choice(peers).peer_address)

    async def pull(self, address: str) -> None:
        """Asks the peer at an address for newer tables."""
        request = SnapshotRequest(position=self._get_snapshot().position)
        result = await self._app.get("peers").call(address, request, CALL_TIMEOUT_S)
        match result:
            case Failure(error):
                self._count(error.label)
            case Success(reply) if not reply.newer:
                self._count("nothing_newer")
            case Success(reply):
                self._take(address, reply)

    def announce(self) -> None:
        """Tells a few peers, chosen at random, that the own tables are newer."""
        peers = self.get_peers()
        for peer in self._random.sample(peers, min(ANNOUNCE_PEERS, len(peers))):
            task = asyncio.create_task(self._announce_to(peer.peer_address))
            self._announcing.add(task)
            task.add_done_callback(self._announcing.discard)

    async def stop(self) -> None:
        """Ends announcements that are under way."""
        for task in self._announcing:
            task.cancel()
        await asyncio.gather(*self._announcing, return_exceptions=True)

    async def _announce_to(self, address: str) -> None:
        position = self._get_snapshot().position
        announcement = Announcement(address=self._address, position=position)
        await self._app.get("peers").call(address, announcement, CALL_TIMEOUT_S)

    def _take(self, address: str, reply: object) -> None:
        match read_reply(reply):
            case Failure(error):
                self._count(error.label)
                logger.error("tables of {} are faulty: {}", address, error.detail)
            case Success(snapshot):
                self._count("newer")
                self._adopt(snapshot)

    def _count(self, outcome: str) -> None:
        self._app.metrics.count(TABLES_EXCHANGES, outcome=outcome)

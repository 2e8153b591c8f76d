"""Sessions on other engines that hold slices of one prompt."""

from __future__ import annotations

from typing import Iterable, Mapping, Protocol

import attrs

from standins.engine._messages import STATE_HELD, Export, MemberRef, SessionList
from standins.engine._refusal import EngineRefusal


class EnginePeer(Protocol):
    """Another engine, as far as one engine calls it."""

    async def sessions(self) -> SessionList:
        """Returns its session list."""

    async def fetch_export(self, handle: str) -> Export:
        """Returns one of its exports."""


@attrs.frozen
class GroupMemory:
    """What the members of a group hold together.

    :param kv_tokens: their memory.
    :param prefilled: prompt tokens that they have processed.
    """

    kv_tokens: int = 0
    prefilled: int = 0


async def check_members(
    members: Iterable[MemberRef], peers_by_address: Mapping[str, EnginePeer]
) -> GroupMemory:
    """Returns what the members hold.

    :raises EngineRefusal: 424 if one of them does not hold its slice.
    """
    kv_tokens = prefilled = 0
    for member in members:
        peer = peers_by_address.get(member.address)
        if peer is None:
            raise EngineRefusal(502)
        rows_by_name = {row.session: row for row in (await peer.sessions()).sessions}
        row = rows_by_name.get(member.session)
        if row is None or row.state != STATE_HELD:
            raise EngineRefusal(424)
        kv_tokens += row.kv_tokens
        prefilled += row.prefilled_tokens
    return GroupMemory(kv_tokens, prefilled)

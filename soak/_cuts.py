"""Cuts between instances and endpoints; callers and the store still reach both."""

from __future__ import annotations

import contextlib
import enum
from typing import Collection, Iterator, Sequence

import attrs

from cicadacourse.util.clock import now
from soak._instances import InstanceProcess
from soak._partitioned_instance import HANG, REFUSE
from soak._proxy import Proxy


class Cut(enum.Enum):
    """What becomes of the connections between an instance and an endpoint."""

    HANG = "hang"
    HANG_THEN_RESET = "hang, then reset"
    RESET = "reset"
    REFUSE_NEW = "refuse new"


_HANGS = frozenset({Cut.HANG, Cut.HANG_THEN_RESET})


@attrs.define(eq=False)
class Partition:
    """A cut between one instance and some endpoints, in loop seconds.

    :param is_whole: whether the instance reaches no endpoint.
    """

    instance: InstanceProcess
    endpoint_ids: frozenset[str]
    cut: Cut
    is_whole: bool
    began: float = attrs.field(factory=now)
    ended: float = float("inf")


@attrs.define
class Cuts:
    """The cuts of a run; several may hold for one instance at a time.

    :param link_by_endpoint_id: the proxy in front of each endpoint.
    """

    link_by_endpoint_id: dict[str, Proxy]
    partitions: list[Partition] = attrs.field(factory=list)

    def is_cut(self, instance: InstanceProcess, since: float, until: float) -> bool:
        """Returns whether an instance had a cut between two loop times in seconds."""
        return any(
            item.began <= until and item.ended >= since
            for item in self.partitions
            if item.instance is instance
        )

    @contextlib.contextmanager
    def cutting(
        self,
        instances: Sequence[InstanceProcess],
        endpoint_ids: Collection[str],
        cut: Cut,
    ) -> Iterator[None]:
        """Cuts instances off from endpoints while the block runs."""
        is_whole = len(endpoint_ids) == len(self.link_by_endpoint_id)
        ids = frozenset(endpoint_ids)
        added = [Partition(item, ids, cut, is_whole) for item in instances]
        self.partitions += added
        for item in added:
            self._apply(item, is_reset=cut is Cut.RESET)
        try:
            yield
        finally:
            for item in added:
                item.ended = now()
                self._apply(item, is_reset=cut is Cut.HANG_THEN_RESET)

    def _apply(self, changed: Partition, is_reset: bool) -> None:
        """Lets the links of an instance be as its cuts demand now."""
        instance = changed.instance
        lines = []
        for id, link in self.link_by_endpoint_id.items():
            cuts = {
                item.cut
                for item in self.partitions
                if item.instance is instance
                and item.ended == float("inf")
                and id in item.endpoint_ids
            }
            if is_reset and id in changed.endpoint_ids:
                link.reset(instance.host)
            is_hanging = bool(cuts & _HANGS)
            link.block(instance.host, is_hanging)
            if cuts:
                lines.append(f"{link.address} {HANG if is_hanging else REFUSE}\n")
        temporary = instance.cuts.with_suffix(".new")
        temporary.write_text("".join(lines))
        temporary.replace(instance.cuts)

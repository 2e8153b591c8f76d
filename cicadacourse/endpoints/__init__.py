"""Endpoints: who they are, whether they serve, and the calls they take."""

from __future__ import annotations

import attrs

from cicadacourse.platform import ListedInstance


@attrs.frozen
class Endpoint:
    """One model engine or plain service, as the instance list gives it.

    :param name: unique name.
    :param kind: ``engine`` or ``service``.
    :param address: ``IP:port`` where it is called.
    :param group: the group that pools select endpoints by.
    :param region: the region it runs in.
    :param failure_domain: the failure domain it runs in.
    :param pool: the pool that selects it now; empty outside a pool.
    """

    name: str
    kind: str
    address: str
    group: str = ""
    region: str = "default"
    failure_domain: str = ""
    pool: str = ""

    @classmethod
    def from_listed(cls, row: ListedInstance, pool: str = "") -> Endpoint:
        """Returns the endpoint of a row of the instance list."""
        return cls(
            row.name,
            row.kind,
            row.address,
            row.group,
            row.region,
            row.failure_domain,
            pool,
        )


__all__ = ["Endpoint"]

"""Refuses requests while no endpoint of their pool can be connected to.

The expected load is an instance, or all of them, that has lost its links to all
endpoints of a pool for seconds. Each request would wait for connections that time out,
one after another. They are refused instead, until a connection that is tried in the
background is made.
"""

from __future__ import annotations

from cicadacourse.application import Application
from cicadacourse.errors import Error
from cicadacourse.placement import _errors as errors
from cicadacourse.reachability import Reachability


class ReachGate:
    """Checks whether an endpoint of a pool is reached from here or by a peer."""

    def __init__(self, app: Application) -> None:
        self._app = app

    def find_refusal(self, pool: str) -> Error | None:
        """Returns the error if no endpoint of a pool is reached, else None."""
        reachability: Reachability | None = self._app.find("reachability")
        if reachability is None or not reachability.is_pool_unreachable(pool):
            return None
        return errors.pool_unreachable(pool)

"""The base of the policies that choose an endpoint, and their registry."""

from __future__ import annotations

import abc
import itertools
import random
from typing import TYPE_CHECKING

from returns.result import Failure, Result

from cicadacourse.endpoints import Endpoint
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.registry import Registry
from cicadacourse.routing._model import Grant, Work
from cicadacourse.tables import Pool

if TYPE_CHECKING:
    from cicadacourse.application import Application

POLICIES: Registry[type[Policy]] = Registry("policy")

NO_ENDPOINT_RETRY_AFTER_S = 2.0


class Policy(abc.ABC):
    """Chooses an endpoint of a pool for one attempt; one object per instance.

    :param app: the application it works for.
    """

    def __init__(self, app: Application) -> None:
        self.app = app
        self.me = app.get("membership").self_member()
        self.random = random.Random(self.me.name)
        self._numbers = itertools.count(1)

    @abc.abstractmethod
    async def acquire(
        self, work: Work, pool: Pool, deadline: float, excluded: frozenset[str]
    ) -> Result[Grant, Error]:
        """Returns a grant on one of the pool's endpoints, or why there is none.

        :param deadline: when the answer must be whole, on the loop's clock.
        :param excluded: names of endpoints not to use again.
        """

    def released(self, grant: Grant) -> None:
        """Learns that a grant of this policy is used no more."""

    def endpoints(self, pool: Pool, excluded: frozenset[str]) -> list[Endpoint]:
        """Returns the endpoints that may serve, sorted by name."""
        live = self.app.get("directory").endpoints(pool.name)
        usable = [endpoint for endpoint in live if endpoint.name not in excluded]
        return sorted(usable, key=lambda endpoint: endpoint.name)

    def new_session(self, work: Work) -> str:
        """Returns a session name that no other grant has."""
        number = next(self._numbers)
        origin = f"{self.me.name}.{self.me.incarnation:x}"
        return f"{work.request_id}.{work.attempt}.{origin}.{number}"


def no_endpoint(pool: Pool) -> Failure[Error]:
    """Returns the failure for a pool without a usable endpoint."""
    detail = f"no endpoint of pool {pool.name!r} is usable"
    error = Error(
        ErrorKind.NO_ENDPOINT, detail, retry_after_s=NO_ENDPOINT_RETRY_AFTER_S
    )
    return Failure(error)

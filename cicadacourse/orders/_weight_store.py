"""The client of the platform's weight store."""

from __future__ import annotations

import abc
import contextlib
from typing import AsyncIterator

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.config import PlatformSettings
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.util.http import HttpClient, HttpError

_OK = 200
_TOO_MANY = 429
REASON_RATE_LIMIT = "weight_store_rate_limit"


@attrs.frozen
class Weights:
    """What the load of a model costs.

    :param bytes: size of the weights.
    :param seconds: how long a load takes.
    """

    bytes: int
    seconds: float


class WeightStore(Service, abc.ABC):
    """The rate-limited weight store; the service is named ``weight_store``."""

    name = "weight_store"

    @abc.abstractmethod
    async def ask(
        self, model: str, version: int, timeout_s: float
    ) -> Result[Weights, Error]:
        """Asks for leave to load a model once.

        Fails with ``OVERLOADED`` and a time to come back above the rate limit, and
        with ``PEER_UNREACHABLE`` if the store gave no answer.
        """


@SERVICES.register("weight_store")
class HttpWeightStore(WeightStore):
    """The weight store as the instance's settings name it."""

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._address = app.settings.get(PlatformSettings).weight_store_address
        self._http = HttpClient()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keeps connections to the store while the instance runs."""
        with contextlib.closing(self._http):
            yield

    async def ask(
        self, model: str, version: int, timeout_s: float
    ) -> Result[Weights, Error]:
        """Asks over HTTP; see :class:`WeightStore`."""
        path = f"/weights/{model}/{version}"
        try:
            answer = await self._http.request("GET", self._address, path, timeout_s)
        except HttpError as error:
            return Failure(Error(ErrorKind.PEER_UNREACHABLE, str(error)))
        try:
            body = answer.json()
            if answer.status == _OK:
                return Success(Weights(int(body["bytes"]), float(body["seconds"])))
            if answer.status == _TOO_MANY:
                return Failure(get_rate_limit_error(float(body["retry_after_s"])))
        except (ValueError, KeyError, TypeError):
            pass
        detail = f"the weight store answered {answer.status}"
        return Failure(Error(ErrorKind.PEER_UNREACHABLE, detail))


def get_rate_limit_error(retry_after_s: float) -> Error:
    """Returns the error of a load above the store's rate limit."""
    return Error(
        ErrorKind.OVERLOADED,
        "too many loads",
        reason=REASON_RATE_LIMIT,
        retry_after_s=retry_after_s,
    )

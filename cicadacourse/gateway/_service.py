"""Serves requests: admission, placement, attempts and the final response."""

from __future__ import annotations

import asyncio
import math

from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CatalogService
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import CallerRequest, EndpointClient, Reply
from cicadacourse.gateway._admission import (
    MAX_WAIT_SHARE,
    AdmittedRequest,
    admit,
    leaving_error,
    may_decide,
    size_class,
    superseded_error,
)
from cicadacourse.gateway._attempts import Attempts
from cicadacourse.gateway._endpoint_activity import EndpointActivity
from cicadacourse.gateway._forward import Forwarder
from cicadacourse.gateway._head import BodyTerms, check_head
from cicadacourse.gateway._settings import (
    DURATION,
    FIRST_EVENT,
    LONGEST_GAP,
    GatewaySettings,
)
from cicadacourse.gateway._times import StreamTimes
from cicadacourse.logs import REQUEST_ENDED, REQUEST_REFUSED, STREAM_ABORTED, log
from cicadacourse.metrics import REFUSALS, REQUESTS
from cicadacourse.placement import RetryBudget
from cicadacourse.util.clock import now

# How long a request waits for the first configuration and registry. In most cases a
# starting instance has both within this time.
MAX_START_WAIT_S = 1.2
# How long a request waits for a newer configuration if the one in force may be out of
# date. A newer one or evidence that there is none mostly arrives within this time.
MAX_NEWS_WAIT_S = 0.4


@SERVICES.register("gateway")
class Gateway(Service):
    """Responds to each request exactly once, at its deadline at the latest.

    :ivar leaving: whether this instance is shutting down gracefully.
    :ivar budget: the retry budget of all requests that this instance serves.
    """

    name = "gateway"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        settings = app.settings.get(GatewaySettings)
        self.leaving = False
        self.budget = RetryBudget(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window_s,
            started=now(),
        )
        self._activity = EndpointActivity()

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Serves one request; returns when its response has been written.

        If it is cancelled while the caller waits, the instance stops, and the request
        is answered by how far it got.
        """
        match await self._admit(request):
            case Failure(error):
                await self.refuse(request, reply, error)
            case Success(admitted):
                await self._serve(admitted, reply)

    def check_head(
        self, request: CallerRequest, length: int | None, max_bytes: int
    ) -> Result[BodyTerms, Error]:
        """Returns the terms of a request's body; see :func:`check_head`."""
        catalog_service: CatalogService = self.app.get("catalog")
        return check_head(
            request,
            length,
            catalog_service.catalog,
            catalog_service.freshness,
            max_bytes,
            now(),
        )

    async def _admit(self, request: CallerRequest) -> Result[AdmittedRequest, Error]:
        """Admits a request by a configuration that is recent enough to decide on it.

        Waits for a short time if the one in force is not.
        """
        catalog_service: CatalogService = self.app.get("catalog")
        freshness = catalog_service.freshness
        if not await catalog_service.wait_until_known(MAX_START_WAIT_S):
            return admit(request, None)
        wait_until = now() + _max_news_wait_s(request)
        result = admit(request, catalog_service.catalog)
        while not may_decide(result, freshness, now()):
            if not await freshness.wait_for_news(wait_until - now()):
                return Failure(superseded_error(freshness))
            result = admit(request, catalog_service.catalog)
        return result

    async def _serve(self, admitted: AdmittedRequest, reply: Reply) -> None:
        attempts = Attempts(admitted.route)
        client: EndpointClient = self.app.get("endpoint_caller")
        forwarder = Forwarder(
            self.app,
            admitted,
            reply,
            attempts,
            client,
            self.budget,
            self._activity,
        )
        try:
            async with asyncio.timeout_at(admitted.deadline):
                error = await forwarder.run()
        except TimeoutError:
            error = attempts.timeout_error()
        except asyncio.CancelledError:
            if reply.caller_disconnected.is_set():
                raise
            error = _stopped_error(attempts)
        if error is not None:
            await self._fail(admitted, reply, error)
        self._report_end(admitted, forwarder, error)

    def _report_end(
        self, admitted: AdmittedRequest, forwarder: Forwarder, error: Error | None
    ) -> None:
        """Logs how a request ended and updates the metrics."""
        outcome = "answered" if error is None else error.label
        took_s = now() - admitted.request.arrived
        times = forwarder.times
        self._record_metrics(admitted, outcome, took_s, times)
        log(
            REQUEST_ENDED,
            request=admitted.request.id,
            route=admitted.route.name,
            outcome=outcome,
            sends=forwarder.attempts.sent,
            took_s=round(took_s, 4),
            **times.log_fields(admitted.request.arrived),
        )

    def _record_metrics(
        self, admitted: AdmittedRequest, outcome: str, took_s: float, times: StreamTimes
    ) -> None:
        metrics = self.app.metrics
        kind = admitted.route.kind.value
        size = size_class(admitted.prompt)
        metrics.count(REQUESTS, kind=kind, outcome=outcome)
        metrics.observe(DURATION, took_s, kind=kind, size=size)
        if times.first_at_s is not None:
            first_s = times.first_at_s - admitted.request.arrived
            metrics.observe(FIRST_EVENT, first_s, size=size)
            metrics.observe(LONGEST_GAP, times.longest_gap_s, size=size)

    async def _fail(
        self, admitted: AdmittedRequest, reply: Reply, error: Error
    ) -> None:
        if not reply.started:
            await self.refuse(admitted.request, reply, error)
            return
        log(
            STREAM_ABORTED,
            request=admitted.request.id,
            reason=error.label,
            detail=error.detail,
        )
        reply.abort()

    async def refuse(self, request: CallerRequest, reply: Reply, error: Error) -> None:
        """Refuses a request that has not run, or has failed."""
        self.app.metrics.count(REFUSALS, reason=error.label)
        freshness = self.app.get("catalog").freshness
        log(
            REQUEST_REFUSED,
            request=request.id,
            status=error.response.status,
            reason=error.label,
            detail=error.detail,
            retry_after_s=error.retry_after_s,
            age_s=round(now() - request.arrived, 4),
            configuration=freshness.version,
            newest_configuration=freshness.newest_version,
            confirmed_age_s=_finite_age_s(freshness.confirmed_at),
        )
        await reply.refuse(error)


def _max_news_wait_s(request: CallerRequest) -> float:
    """Returns how long a request may wait for a newer configuration."""
    if request.timeout_s is None:
        return MAX_NEWS_WAIT_S
    return min(MAX_NEWS_WAIT_S, MAX_WAIT_SHARE * request.timeout_s)


def _stopped_error(attempts: Attempts) -> Error:
    """Returns the error of a request that ends because this instance stops."""
    if not attempts.sent and not attempts.may_have_run:
        return leaving_error()
    detail = "this instance stopped before the response"
    return Error(ErrorKind.TIMED_OUT, detail, reason=ErrorKind.LEAVING.value)


def _finite_age_s(at_s: float) -> float | None:
    """Returns the seconds since a loop time, None if that is never."""
    age_s = now() - at_s
    return round(age_s, 1) if math.isfinite(age_s) else None

"""Reports how attempts end to the log, the metrics and the placement service."""

from __future__ import annotations

from typing import Sequence

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService
from cicadacourse.errors import Error
from cicadacourse.exchange import (
    EndpointClient,
    EndpointRequest,
    EndpointResponse,
    SendFailure,
)
from cicadacourse.gateway._admission import AdmittedRequest
from cicadacourse.gateway._attempt import Attempt
from cicadacourse.gateway._attempts import Attempts, Progress
from cicadacourse.gateway._settings import ATTEMPT_FAILURES
from cicadacourse.logs import (
    ATTEMPT_FAILED,
    ATTEMPT_SUPERSEDED,
    HEDGE_DENIED,
    REQUEST_HEDGED,
    REQUEST_SENT,
    log,
)
from cicadacourse.placement import Placement, Placer
from cicadacourse.reservations import ReservationRefused
from cicadacourse.util.clock import now

REASON_NO_RESPONSE = "no_answer"
REASON_STREAM_SILENT = "stream_silent"


@attrs.frozen
class OutcomeReporter:
    """Reports the outcomes of one request's attempts to all that depend on them."""

    app: Application
    admitted: AdmittedRequest
    attempts: Attempts

    @property
    def _placer(self) -> Placer:
        return self.app.get("placement")

    def report_reservation_refused(
        self, placement: Placement, refusal: ReservationRefused
    ) -> None:
        """Reports that the prompt's KV cache could not be reserved.

        Engines that did not respond count as having refused.
        """
        for endpoint in refusal.endpoints:
            self._placer.report_refusal(endpoint.id)
        self.attempts.record_not_sent()
        detail = refusal.error.detail
        self._record_failure(placement.endpoint.id, "no_memory", detail, False)

    def report_transport_failure(
        self,
        placement: Placement,
        failure: SendFailure,
        progress: Progress,
        silent_s: float,
    ) -> None:
        """Reports that an endpoint was unreachable, broke off, timed out or left.

        The attempt doesn't count if the endpoint left before anything was sent. It
        doesn't count against the endpoint if the instance was lost through which the
        exchange went.

        :param progress: how far the attempt got.
        :param silent_s: for how many seconds no data had come.
        """
        endpoint_id = placement.endpoint.id
        if failure.is_withdrawn:
            self.attempts.record_withdrawn()
            self._log_failure(endpoint_id, failure.reason, failure.detail, False)
            return
        if not failure.is_peer_lost:
            self._placer.report_transport_failure(endpoint_id, failure.reason)
        if not failure.may_have_run:
            self.attempts.record_not_run()
        prompt = self.admitted.prompt
        self._record_failure(
            endpoint_id,
            failure.reason,
            failure.detail,
            failure.may_have_run,
            progress=progress.value,
            silent_s=round(silent_s, 3),
            parts=prompt.shared_part_ids if prompt else (),
        )

    def report_hedged(self, pool: str, attempts: Sequence[Attempt]) -> None:
        """Reports that another endpoint is tried beside those that are silent."""
        log(
            REQUEST_HEDGED,
            request=self.admitted.request.id,
            pool=pool,
            endpoints=[item.endpoint_id for item in attempts],
            silent_s=round(min(item.silent_s for item in attempts), 3),
        )

    def report_hedge_denied(self, error: Error) -> None:
        """Reports that an attempt was not sent while others go on."""
        log(
            HEDGE_DENIED,
            request=self.admitted.request.id,
            reason=error.label,
            detail=error.detail,
        )

    def report_superseded(self, attempt: Attempt, chosen: Attempt) -> None:
        """Reports that an attempt is cancelled as another one was faster.

        A long silence counts against its endpoint: the other one shows that this
        instance and its network work.
        """
        is_overdue = now() >= attempt.silence_limit_at(now())
        log(
            ATTEMPT_SUPERSEDED,
            request=self.admitted.request.id,
            endpoint=attempt.endpoint_id,
            chosen=chosen.endpoint_id,
            silent_s=round(attempt.silent_s, 3),
            is_blamed=attempt.is_sent and is_overdue,
        )
        if not attempt.is_sent:
            return
        self.attempts.may_have_run = True
        if is_overdue:
            self.report_silent(attempt)

    def report_silent(self, attempt: Attempt) -> None:
        """Reports that an endpoint was silent for too long beside one that was not."""
        if attempt.endpoint_id is None:
            return
        is_waiting = attempt.progress is Progress.WAITING
        reason = REASON_NO_RESPONSE if is_waiting else REASON_STREAM_SILENT
        detail = f"no data in {attempt.silent_s:.2f} s"
        self._placer.report_transport_failure(attempt.endpoint_id, reason)
        # Kept connections may have fallen silent together with this one.
        client: EndpointClient = self.app.get("endpoint_caller")
        client.close_idle_connections(attempt.endpoint_id)
        self._record_failure(attempt.endpoint_id, reason, detail, True)

    def report_refusal(self, response: EndpointResponse, placement: Placement) -> None:
        """Reports that the endpoint did not run the request.

        The refusal counts against the endpoint that the response blames, which may be a
        helper. It doesn't count against an endpoint that names a limit: its permits
        bound the requests that it gets.
        """
        blamed = response.head.fault_address or placement.endpoint.address
        is_limited = response.head.request_limit is not None
        for endpoint in (placement.endpoint, *placement.helpers):
            if endpoint.address != blamed:
                continue
            if not (is_limited and endpoint is placement.endpoint):
                self._placer.report_refusal(endpoint.id)
        self.attempts.record_not_run()
        detail = f"status {response.head.status}, not run"
        self._record_failure(placement.endpoint.id, "endpoint_refused", detail, False)

    def report_error_response(
        self, response: EndpointResponse, placement: Placement
    ) -> None:
        """Reports an error response that is not forwarded to the caller."""
        endpoint_id = placement.endpoint.id
        self._placer.report_error_response(endpoint_id)
        detail = f"status {response.head.status}"
        self._record_failure(endpoint_id, "error_answer", detail, True)

    def _record_failure(
        self,
        endpoint_id: str,
        reason: str,
        detail: str,
        may_have_run: bool,
        **fields: object,
    ) -> None:
        self.attempts.record_failure(endpoint_id, reason, detail, may_have_run)
        self._log_failure(endpoint_id, reason, detail, may_have_run, **fields)

    def _log_failure(
        self,
        endpoint_id: str,
        reason: str,
        detail: str,
        may_have_run: bool,
        **fields: object,
    ) -> None:
        self.app.metrics.count(ATTEMPT_FAILURES, reason=reason)
        log(
            ATTEMPT_FAILED,
            request=self.admitted.request.id,
            endpoint=endpoint_id,
            reason=reason,
            detail=detail,
            may_have_run=may_have_run,
            digest=self.admitted.keys.digest,
            **fields,
        )

    def report_forwarded(
        self, response: EndpointResponse, placement: Placement
    ) -> None:
        """Reports a response that was forwarded to its end."""
        if response.head.is_server_error:
            self._placer.report_error_response(placement.endpoint.id)
        else:
            self._placer.health.record_success(placement.endpoint.id)

    def report_sent(self, placement: Placement, request: EndpointRequest) -> None:
        """Logs that the request is sent, and the state that its placement relies on."""
        prompt = self.admitted.prompt
        catalog_service: CatalogService = self.app.get("catalog")
        organisation = self.admitted.organisation
        log(
            REQUEST_SENT,
            request=self.admitted.request.id,
            route=self.admitted.route.name,
            organisation=organisation.name if organisation else None,
            configuration=self.admitted.catalog_version,
            configuration_age_s=round(now() - catalog_service.in_force_since, 1),
            registry_age_s=round(now() - catalog_service.registry_read_at, 1),
            endpoint=placement.endpoint.id,
            writers=placement.load.decode_streams,
            calls=placement.load.calls,
            backlog_s=round(placement.load.backlog_s, 3),
            helpers=[item.id for item in placement.helpers],
            tickets=len(placement.reservation_plans),
            prompt_tokens=prompt.tokens if prompt else 0,
            expected_s=round(placement.expected_first_event_s, 3),
            time_left_s=round(request.time_left_s, 3),
            waited_s=round(now() - self.admitted.request.arrived, 4),
            attempt=self.attempts.made + 1,
            after_event=request.last_event_id,
            digest=self.admitted.keys.digest,
        )

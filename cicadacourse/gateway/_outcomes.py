"""Notes how attempts end, for the log and for those that learn from it."""

from __future__ import annotations

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService
from cicadacourse.exchange import EndpointRequest, EndpointResponse, SendFailure
from cicadacourse.gateway._attempts import Attempts
from cicadacourse.gateway._call import Call
from cicadacourse.gateway._settings import ATTEMPT_FAILURES
from cicadacourse.logs import ATTEMPT_FAILED, REQUEST_SENT, log
from cicadacourse.placement import Placement, Placer
from cicadacourse.reservations import ReservationRefused
from cicadacourse.util.clock import now

_SERVER_ERROR = 500


@attrs.frozen
class Outcomes:
    """Tells the attempts, the placer and the log of one request's attempts."""

    app: Application
    call: Call
    attempts: Attempts

    @property
    def _placer(self) -> Placer:
        return self.app.get("placement")

    def note_no_memory(self, placement: Placement, refusal: ReservationRefused) -> None:
        """Notes that the prompt's memory could not be reserved."""
        for endpoint in refusal.endpoints:
            self._placer.report_refusal(endpoint.id)
        self.attempts.note_not_sent()
        detail = refusal.error.detail
        self._note_failed(placement.endpoint.id, "no_memory", detail, False)

    def note_failure(self, placement: Placement, failure: SendFailure) -> None:
        """Notes that an endpoint could not be reached, broke off or was silent."""
        endpoint_id = placement.endpoint.id
        self._placer.report_transport_failure(endpoint_id, failure.reason)
        if not failure.may_have_run:
            self.attempts.note_never_ran()
        self._note_failed(
            endpoint_id, failure.reason, failure.detail, failure.may_have_run
        )

    def note_refusal(self, answer: EndpointResponse, placement: Placement) -> None:
        """Notes that the endpoint did not run the request, and whom it blames."""
        blamed = answer.head.fault_address or placement.endpoint.address
        for endpoint in (placement.endpoint, *placement.helpers):
            if endpoint.address == blamed:
                self._placer.report_refusal(endpoint.id)
        self.attempts.note_never_ran()
        detail = f"status {answer.head.status}, not run"
        self._note_failed(placement.endpoint.id, "endpoint_refused", detail, False)

    def note_error_answer(self, answer: EndpointResponse, placement: Placement) -> None:
        """Notes an answer that tells of a failure and is not passed on."""
        endpoint_id = placement.endpoint.id
        self._placer.report_error_answer(endpoint_id)
        detail = f"status {answer.head.status}"
        self._note_failed(endpoint_id, "error_answer", detail, True)

    def _note_failed(
        self, endpoint_id: str, reason: str, detail: str, may_have_run: bool
    ) -> None:
        self.attempts.note_failed(endpoint_id, reason, detail, may_have_run)
        self.app.metrics.count(ATTEMPT_FAILURES, reason=reason)
        log(
            ATTEMPT_FAILED,
            request=self.call.request.id,
            endpoint=endpoint_id,
            reason=reason,
            detail=detail,
            may_have_run=may_have_run,
        )

    def note_end(self, answer: EndpointResponse, placement: Placement) -> None:
        """Notes an answer that was passed on whole."""
        if answer.head.status >= _SERVER_ERROR:
            self._placer.report_error_answer(placement.endpoint.id)
        else:
            self._placer.health.record_success(placement.endpoint.id)

    def note_sent(self, placement: Placement, request: EndpointRequest) -> None:
        """Notes that the request goes to an endpoint, and what was believed of it."""
        prompt = self.call.prompt
        keeper: CatalogService = self.app.get("catalog")
        organisation = self.call.organisation
        log(
            REQUEST_SENT,
            request=self.call.request.id,
            route=self.call.route.name,
            organisation=organisation.name if organisation else None,
            configuration=self.call.catalog_version,
            configuration_age_s=round(now() - keeper.in_force_since, 1),
            registry_age_s=round(now() - keeper.registry_read_at, 1),
            endpoint=placement.endpoint.id,
            writers=placement.load.decode_streams,
            calls=placement.load.calls,
            backlog_s=round(placement.load.backlog_s, 3),
            helpers=[item.id for item in placement.helpers],
            tickets=len(placement.reservation_plans),
            prompt_tokens=prompt.tokens if prompt else 0,
            expected_s=round(placement.expected_first_event_s, 3),
            time_left_s=round(request.time_left_s, 3),
            waited_s=round(now() - self.call.request.arrived, 4),
            attempt=self.attempts.sent + self.attempts.refused + 1,
            after_event=request.last_event_id,
        )

"""The guarantees to callers and endpoints, checked from what these observe."""

from __future__ import annotations

import json
from collections import Counter

import attrs

from cicadacourse.platform import _names as names
from cicadacourse.util.clock import now
from soak._callers import TIMEOUT_S, Attempt
from soak._configurations import APPLY_BOUND_S
from soak._environment import SoakEnvironment
from soak._instances import InstanceProcess
from standins.callers import event_ids
from standins.platform import Worker

OK = 200
UNKNOWN_KEY = 401
UNKNOWN_ROUTE = 404
EXPECTED_STATUSES = frozenset({200, 401, 408, 421, 429, 500, 502, 503, 504})
# Responses are guaranteed within a quarter of a second after the timeout; the rest
# allows for a busy machine.
LATE_SLACK_S = 1.0
# A new configuration is in force, and a removed key is rejected, after this long.
CONFIGURATION_BOUND_S = 5.0
# An instance that can't reach the store serves a removed key no longer than this:
# ``configApplyMs`` and ``outerBoundMs`` of the grown deployments together.
REMOVAL_BOUND_S = APPLY_BOUND_S + 6.0
# A violation shows this much of an output line, enough to read the exception in it.
MAX_SHOWN_CHARACTERS = 1500
_FAULTY_OUTPUT_TEXTS = ("Traceback", "never retrieved", "was destroyed")


@attrs.define
class InvariantChecker:
    """Checks the invariants of a soak and collects the violations.

    :ivar violations: one line for each violation.
    :ivar statuses: attempts by status, 0 for those without a complete response.
    """

    environment: SoakEnvironment
    violations: list[str] = attrs.field(factory=list)
    statuses: Counter[int] = attrs.field(factory=Counter)
    _non_idempotent_ids: list[list[str]] = attrs.field(factory=list)
    _not_executed_ids: list[str] = attrs.field(factory=list)

    @property
    def workers(self) -> list[Worker]:
        """The endpoints of the run, those that are gone included."""
        return self.environment.fleet.workers

    def check_request(self, attempts: list[Attempt]) -> None:
        """Checks all attempts of one request."""
        for attempt in attempts:
            self.statuses[attempt.status] += 1
            self._check_response(attempt)
            self._check_duration(attempt)
            if attempt.is_not_executed:
                self._not_executed_ids.append(attempt.id)
        if attempts and not attempts[0].kind.is_idempotent:
            self._non_idempotent_ids.append([attempt.id for attempt in attempts])

    def check_removed_key(self, attempt: Attempt) -> None:
        """Checks that a key is rejected once its removal must be in force."""
        since = self.environment.removed_at_by_key[attempt.key] + CONFIGURATION_BOUND_S
        is_served = attempt.status == OK
        if is_served and attempt.started > since and self._is_fault_free(attempt):
            self._add_violation(
                attempt, f"key {attempt.key} is still accepted after its removal"
            )

    def check_proper_request(self, attempt: Attempt, prefix: str) -> None:
        """Checks that a request which all configurations in force allow is not denied.

        Holds for an instance that ran and was reachable for ``APPLY_BOUND_S``, whatever
        configuration it has.

        :param prefix: the path prefix of the request's route.
        """
        self.statuses[attempt.status] += 1
        response = attempt.response
        if response is None or response.status not in (UNKNOWN_KEY, UNKNOWN_ROUTE):
            return
        history = self.environment.history
        prefixes, keys = history.allowed_by_all(attempt.started, attempt.ended)
        is_proper = prefix in prefixes and attempt.key in keys
        if is_proper and _was_reachable(attempt, APPLY_BOUND_S):
            self._add_violation(attempt, f"denied with {response.status}")

    def check_key_out_of_force(self, attempt: Attempt) -> None:
        """Checks that a key removed ``REMOVAL_BOUND_S`` before is not accepted.

        Holds for an instance that ran and was reachable for as long.
        """
        self.statuses[attempt.status] += 1
        if attempt.status == OK and _was_reachable(attempt, REMOVAL_BOUND_S):
            self._add_violation(attempt, f"key {attempt.key} is still accepted")

    def check_final_state(self) -> None:
        """Checks executions, reservations and processes; all instances have stopped."""
        executions: Counter[str] = Counter()
        for worker in self.workers:
            executions.update(worker.runs_by_request)
        for ids in self._non_idempotent_ids:
            if sum(executions[id] for id in ids) > 1:
                self.violations.append(f"a booking was executed more than once: {ids}")
        for id in self._not_executed_ids:
            if executions[id]:
                self.violations.append(
                    f"{id} was executed though its response said that it was not"
                )
        for worker in self.workers:
            if worker.engine is not None and worker.engine.reserved_tokens:
                self.violations.append(f"KV cache is still reserved at {worker.id}")
        for instance in self.environment.instances:
            self._check_process(instance)

    def check_recovered(self, attempt: Attempt | None) -> None:
        """Checks that a request sent after the recovery time was served."""
        if attempt is None:
            self.violations.append("no connection could be opened after the last fault")
        elif attempt.status != OK:
            self._add_violation(
                attempt, f"not served after the last fault: status {attempt.status}"
            )

    def _check_response(self, attempt: Attempt) -> None:
        response = attempt.response
        if response is None:
            return
        if response.status not in EXPECTED_STATUSES:
            self._add_violation(attempt, f"unexpected status {response.status}")
        if response.status == UNKNOWN_KEY:
            self._check_unknown_key(attempt)
        if response.status != OK:
            return
        if names.HEADER_SIGNATURE.lower() not in response.headers:
            self._add_violation(attempt, "the response lacks its endpoint's signature")
        if not attempt.kind.events:
            if (
                response.is_complete
                and response.body != f"answer to {attempt.id}".encode()
            ):
                self._add_violation(attempt, f"wrong body: {response.body[:60]!r}")
            return
        found = event_ids(response.body)
        if found != list(range(len(found))):
            self._add_violation(attempt, f"events are out of order: {found}")
        if response.is_complete and len(found) != attempt.kind.events:
            self._add_violation(
                attempt, f"the stream ended as complete after {len(found)} events"
            )

    def _check_unknown_key(self, attempt: Attempt) -> None:
        since = self.environment.added_at_by_key.get(attempt.key)
        if since is None or attempt.started < since + CONFIGURATION_BOUND_S:
            return
        if self._is_fault_free(attempt):
            self._add_violation(attempt, f"key {attempt.key} is still unknown")

    def _check_duration(self, attempt: Attempt) -> None:
        took_s = attempt.ended - attempt.started
        if took_s <= TIMEOUT_S + LATE_SLACK_S:
            return
        if attempt.instance.fault_window.is_fault_free_since(attempt.started):
            self._add_violation(attempt, f"the response took {took_s:.2f} s")

    def _check_process(self, instance: InstanceProcess) -> None:
        if instance.late_exits:
            self.violations.append(f"{instance.name} did not exit in time")
        for status in instance.bad_exits:
            self.violations.append(f"{instance.name} exited with status {status}")
        for line in instance.output.read_text(errors="replace").splitlines():
            if any(text in line for text in _FAULTY_OUTPUT_TEXTS):
                self.violations.append(
                    f"{instance.name} printed: {line[:MAX_SHOWN_CHARACTERS]}"
                )
            elif line.startswith("{"):
                self._check_line(instance, line)

    def _check_line(self, instance: InstanceProcess, line: str) -> None:
        try:
            event = json.loads(line)
        except ValueError:
            # A killed process may leave an incomplete last line.
            return
        if event.get("reason") == "internal":
            self.violations.append(f"{instance.name}: {line[:200]}")

    def _is_fault_free(self, attempt: Attempt) -> bool:
        """Whether no recent fault can have kept a configuration from its instance.

        True if neither the instance nor the store had a fault within
        ``CONFIGURATION_BOUND_S`` before the attempt or since.
        """
        since = attempt.started - CONFIGURATION_BOUND_S
        is_fault_free = attempt.instance.fault_window.is_fault_free_since(since)
        return (
            is_fault_free
            and self.environment.store_fault_window.is_fault_free_since(since)
        )

    def _add_violation(self, attempt: Attempt, description: str) -> None:
        self.violations.append(
            f"{attempt.id} {attempt.kind.path} at {attempt.instance.name}, "
            f"{now() - attempt.started:.1f} s ago: {description}"
        )


def _was_reachable(attempt: Attempt, bound_s: float) -> bool:
    """Whether its instance was reachable from ``bound_s`` before the attempt on."""
    return attempt.instance.unreachable_at < attempt.started - bound_s

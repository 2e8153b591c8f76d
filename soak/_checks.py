"""The promises, checked from what callers and endpoints see."""

from __future__ import annotations

import json
from collections import Counter

import attrs

from cicadacourse.platform import _names as names
from cicadacourse.util.clock import now
from soak._callers import TIMEOUT_S, Attempt
from soak._instances import InstanceProcess
from soak._world import SoakEnvironment
from standins.callers import event_ids
from standins.platform import Worker

OK = 200
UNKNOWN_KEY = 401
OWN_STATUSES = frozenset({200, 401, 408, 421, 429, 500, 502, 503, 504})
# The promise is a quarter of a second; the rest is for a busy machine.
LATE_SLACK_S = 1.0
# A change is in force, and a key that was taken away is dead, after this long.
CONFIGURATION_BOUND_S = 5.0
# Enough of a line to show the exception that it tells of.
MAX_SHOWN = 1500
_BROKEN_OUTPUT = ("Traceback", "never retrieved", "was destroyed")


@attrs.define
class InvariantChecker:
    """Collects what broke a promise.

    :ivar violations: one line for each.
    :ivar statuses: how attempts ended, 0 for those without a whole answer.
    """

    world: SoakEnvironment
    violations: list[str] = attrs.field(factory=list)
    statuses: Counter[int] = attrs.field(factory=Counter)
    _unsafe_ids: list[list[str]] = attrs.field(factory=list)
    _promised_ids: list[str] = attrs.field(factory=list)
    _workers: dict[str, Worker] = attrs.field(factory=dict)

    def note_request(self, attempts: list[Attempt]) -> None:
        """Checks one request with all its attempts."""
        self._note_workers()
        for attempt in attempts:
            self.statuses[attempt.status] += 1
            self._check_answer(attempt)
            self._check_time(attempt)
            if attempt.is_promise:
                self._promised_ids.append(attempt.id)
        if attempts and not attempts[0].kind.is_repeatable:
            self._unsafe_ids.append([attempt.id for attempt in attempts])

    def note_old_key(self, attempt: Attempt) -> None:
        """Checks a request with a key that was taken away a while ago."""
        since = self.world.gone_by_key[attempt.key] + CONFIGURATION_BOUND_S
        is_served = attempt.status == OK
        if is_served and attempt.started > since and self._is_calm(attempt):
            self._break(attempt, f"key {attempt.key} still works")

    def check_end(self) -> None:
        """Checks what must hold once all is done."""
        self._note_workers()
        runs: Counter[str] = Counter()
        for worker in self._workers.values():
            runs.update(worker.runs_by_request)
        for ids in self._unsafe_ids:
            if sum(runs[id] for id in ids) > 1:
                self.violations.append(f"a booking ran more than once: {ids}")
        for id in self._promised_ids:
            if runs[id]:
                self.violations.append(
                    f"{id} ran though its answer said that it had not"
                )
        for worker in self._workers.values():
            if worker.engine is not None and worker.engine.reserved_tokens:
                self.violations.append(f"memory is still reserved at {worker.id}")
        for instance in self.world.instances:
            self._check_process(instance)

    def check_recovered(self, attempt: Attempt | None) -> None:
        """Checks a request that was sent when no fault was left."""
        if attempt is None:
            self.violations.append("no connection after all faults")
        elif attempt.status != OK:
            self._break(attempt, f"not served after all faults: {attempt.status}")

    def _check_answer(self, attempt: Attempt) -> None:
        answer = attempt.answer
        if answer is None:
            return
        if answer.status not in OWN_STATUSES:
            self._break(attempt, f"status {answer.status}")
        if answer.status == UNKNOWN_KEY:
            self._check_refused_key(attempt)
        if answer.status != OK:
            return
        if names.HEADER_SIGNATURE.lower() not in answer.headers:
            self._break(attempt, "an answer without its endpoint's signature")
        if not attempt.kind.events:
            if answer.is_complete and answer.body != f"answer to {attempt.id}".encode():
                self._break(attempt, f"a wrong body: {answer.body[:60]!r}")
            return
        found = event_ids(answer.body)
        if found != list(range(len(found))):
            self._break(attempt, f"events out of order: {found}")
        if answer.is_complete and len(found) != attempt.kind.events:
            self._break(attempt, f"ended as complete with {len(found)} events")

    def _check_refused_key(self, attempt: Attempt) -> None:
        since = self.world.since_by_key.get(attempt.key)
        if since is None or attempt.started < since + CONFIGURATION_BOUND_S:
            return
        if self._is_calm(attempt):
            self._break(attempt, f"key {attempt.key} is not yet known")

    def _check_time(self, attempt: Attempt) -> None:
        took_s = attempt.ended - attempt.started
        if took_s <= TIMEOUT_S + LATE_SLACK_S:
            return
        if attempt.instance.fault_window.is_calm_since(attempt.started):
            self._break(attempt, f"its final answer took {took_s:.2f} s")

    def _check_process(self, instance: InstanceProcess) -> None:
        if instance.late_exits:
            self.violations.append(f"{instance.name} did not leave in time")
        for status in instance.bad_exits:
            self.violations.append(f"{instance.name} left with status {status}")
        for line in instance.output.read_text(errors="replace").splitlines():
            if any(text in line for text in _BROKEN_OUTPUT):
                self.violations.append(f"{instance.name} wrote: {line[:MAX_SHOWN]}")
            elif line.startswith("{"):
                self._check_line(instance, line)

    def _check_line(self, instance: InstanceProcess, line: str) -> None:
        try:
            event = json.loads(line)
        except ValueError:
            # A process that is killed may leave its last line unfinished.
            return
        if event.get("reason") == "internal":
            self.violations.append(f"{instance.name}: {line[:200]}")

    def _is_calm(self, attempt: Attempt) -> bool:
        """Whether its instance could hear of changes for long enough before."""
        since = attempt.started - CONFIGURATION_BOUND_S
        is_calm = attempt.instance.fault_window.is_calm_since(since)
        return is_calm and self.world.store_fault_window.is_calm_since(since)

    def _note_workers(self) -> None:
        """Remembers endpoints, as some are replaced."""
        for listed in self.world.fleet.endpoint_by_id.values():
            self._workers[listed.worker.id] = listed.worker

    def _break(self, attempt: Attempt, what: str) -> None:
        self.violations.append(
            f"{attempt.id} {attempt.kind.path} at {attempt.instance.name}, "
            f"{now() - attempt.started:.1f} s ago: {what}"
        )

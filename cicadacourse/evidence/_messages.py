"""Facts as they travel between instances."""

from __future__ import annotations

from cicadacourse.evidence._model import FACT_KINDS, Fact
from cicadacourse.logs import FACTS_REFUSED, log
from cicadacourse.peers import decode, encode, message
from cicadacourse.util.clock import MS_PER_S

MAX_AGE_MS = 2**32 - 1


@message("evidence.Fact")
class FactReport:
    """One fact, with an age instead of a time since clocks differ."""

    kind: str
    key: str
    id: int
    value: float = 0.0
    age_ms: int = 0


@message("evidence.FetchFacts")
class FetchFacts:
    """Asks an instance for all facts that it knows."""

    sender: str


@message("evidence.Facts")
class FactReports:
    """Some of the facts that an instance knows."""

    facts: tuple[FactReport, ...] = ()


def to_reports(facts: list[Fact], now_s: float) -> FactReports:
    """Returns the message that holds facts.

    :param now_s: loop time in seconds.
    """
    return FactReports(facts=tuple(_to_report(item, now_s) for item in facts))


def to_facts(reports: FactReports, received_at_s: float) -> list[Fact]:
    """Returns the facts of a message, without those of unknown kinds or keys.

    :param received_at_s: loop time in seconds.
    """
    return [
        _to_fact(item, received_at_s)
        for item in reports.facts
        if item.kind in FACT_KINDS and _is_valid(item)
    ]


def _is_valid(item: FactReport) -> bool:
    try:
        FACT_KINDS.get(item.kind).check_key(item.key)
    except ValueError as error:
        log(FACTS_REFUSED, source=item.kind, reason=str(error))
        return False
    return True


def encode_facts(facts: list[Fact], now_s: float) -> bytes:
    """Returns the bytes of facts, none if there are no facts.

    :param now_s: loop time in seconds.
    """
    return encode(to_reports(facts, now_s)) if facts else b""


def decode_facts(body: bytes, received_at_s: float) -> list[Fact]:
    """Returns the facts that bytes hold, as :func:`to_facts` does.

    :param received_at_s: loop time in seconds.
    :raises MalformedMessage: if the bytes are malformed.
    """
    return to_facts(decode("evidence.Facts", body), received_at_s)


def _to_report(fact: Fact, now_s: float) -> FactReport:
    age_ms = round(max(0.0, now_s - fact.observed_at) * MS_PER_S)
    return FactReport(
        kind=fact.kind,
        key=fact.key,
        id=fact.id,
        value=fact.value,
        age_ms=min(MAX_AGE_MS, age_ms),
    )


def _to_fact(report: FactReport, received_at_s: float) -> Fact:
    observed_at = received_at_s - report.age_ms / MS_PER_S
    return Fact(report.kind, report.key, report.id, report.value, observed_at)

"""Load reports: cost by the number of assignments, receivers by that of instances."""

from __future__ import annotations

from bench.control._sample import Meter, Sample
from cicadacourse.load import Assignment, Role, choose_receivers
from cicadacourse.load._codec import decode_report, encode_report
from cicadacourse.load._datagram import Datagram, Relaying
from cicadacourse.load._messages import LoadReport
from cicadacourse.load._reports import to_assignment, to_report
from cicadacourse.membership import Member

ASSIGNMENT_COUNTS = (1, 4, 16)
INSTANCES = (6, 24, 96, 390)
DOMAINS = "abcd"
_REPORTS = 2000


def measure(_: int) -> list[list[Sample]]:
    """Returns samples of a report by assignments, then its receivers by instances."""
    return [
        [_measure_report(count) for count in ASSIGNMENT_COUNTS],
        [_measure_receivers(count) for count in INSTANCES],
    ]


def _measure_report(assignment_count: int) -> Sample:
    assignments = [
        Assignment(f"engine-{index:03d}", Role.DECODE, 0.0, 5000, 0.02, 0.2)
        for index in range(assignment_count)
    ]
    encoded = Meter()
    for _ in range(_REPORTS):
        reports = tuple(to_report(assignment, 1.0) for assignment in assignments)
        body = encode_report(LoadReport(sender="front-a-1", runs=reports))
        datagram = Datagram(Relaying.NO, 1, 2, 3, 7, 100, 50, body).pack()
    encoded_us = encoded.cpu_ms() * 1000 / _REPORTS
    received = Meter()
    for _ in range(_REPORTS):
        Datagram.unpack(datagram)
    received_us = received.cpu_ms() * 1000 / _REPORTS
    decoded = Meter()
    for _ in range(_REPORTS):
        report = decode_report(Datagram.unpack(datagram).body)
        tuple(to_assignment(item, 1.0) for item in report.runs)
    figures = {
        "datagram_bytes": float(len(datagram)),
        "cpu_us_to_make": encoded_us,
        "cpu_us_to_hear": received_us,
        "cpu_us_to_read": decoded.cpu_ms() * 1000 / _REPORTS,
    }
    return Sample("a load report", "runs", assignment_count, figures)


def _measure_receivers(count: int) -> Sample:
    members = [
        Member(f"front-{index:03d}", "1.2.3.4:5", failure_domain=DOMAINS[index % 4])
        for index in range(count)
    ]
    receivers = choose_receivers(members[0], members)
    figures = {
        "sent_by_its_instance": float(len(receivers.direct) + len(receivers.relays)),
        "sent_to_other_domains": float(
            sum(item.failure_domain != "a" for item in receivers.direct)
            + len(receivers.relays)
        ),
    }
    return Sample("datagrams of a report", "instances", count, figures)

"""The cost of each role on one node at the target size, computed from the slopes."""

from __future__ import annotations

from typing import Sequence

import attrs

from bench.control._sample import Slope

# The target size, in nodes (instances).
NODES = 390
# Requests per second of all nodes together.
REQUESTS_PER_S = 4600.0
# On an ordinary day 290 instances are restarted or replaced and 26 fail. Each of these
# is taken to cause 3 changes of member records.
MEMBER_CHANGES_PER_DAY = 3 * (290 + 26)
DAY_S = 86_400.0
# Load reports per request: one when it is sent and one when it has ended.
REPORTS_PER_REQUEST = 2.0
# Assignments in a load report, for which its cost is computed.
ASSIGNMENTS_PER_REPORT = 4.0

MEMBERSHIP = "membership, quiet, per member"
MEMBER_CHANGE = "membership, one change, per member"
MEMBER_STATE = "membership, state, per member"
REPORT = "a load report"
RECEIVERS = "datagrams of a report"
CALL = "call over loopback"
FIRST_CALL = "first call on a connection"


@attrs.frozen
class Role:
    """The cost of one role on one node, which sends about as much as it receives.

    :param calls_per_s: calls to other instances.
    :param sent_bytes_per_s: bytes sent on the wire, without TCP and IP headers.
    :param cpu_ms_per_s: processor time; an upper bound, as encoding is counted twice.
    :param memory_kb: memory of its state; None if that is not measured.
    """

    name: str
    calls_per_s: float
    sent_bytes_per_s: float
    cpu_ms_per_s: float
    memory_kb: float | None


class Slopes:
    """The fitted lines, looked up by measurement and figure."""

    def __init__(self, slopes: Sequence[Slope]) -> None:
        self._by_key = {(slope.matter, slope.figure): slope for slope in slopes}

    def at(self, matter: str, figure: str, size: float) -> float:
        """Returns the value of a figure's line at a size."""
        slope = self._by_key[matter, figure]
        return slope.at_zero + slope.per_unit * size

    def per_unit(self, matter: str, figure: str) -> float:
        """Returns the increase of a figure per unit of size."""
        return self._by_key[matter, figure].per_unit

    def call_overhead_bytes(self) -> float:
        """Returns the bytes of a call on the wire beyond its request and its reply."""
        return self.at(CALL, "wire_bytes_over_messages", 0)


def roles(fitted: Sequence[Slope]) -> list[Role]:
    """Returns the cost of each role on one node at the target size."""
    slopes = Slopes(fitted)
    return [
        _membership_role(slopes),
        _load_sharing_role(slopes),
        _connections_role(slopes),
    ]


def _membership_role(slopes: Slopes) -> Role:
    calls = slopes.at(MEMBERSHIP, "calls_per_s", NODES)
    quiet_bytes = slopes.at(MEMBERSHIP, "sent_bytes_per_s", NODES)
    changes_per_s = MEMBER_CHANGES_PER_DAY / DAY_S
    change_bytes = slopes.at(MEMBER_CHANGE, "extra_bytes", 0) * changes_per_s
    first_call_ms = slopes.at(FIRST_CALL, "cpu_us_per_first_call_both_sides", 0) / 1000
    logic_ms = slopes.at(MEMBERSHIP, "cpu_ms_per_s", NODES)
    return Role(
        "member",
        calls,
        quiet_bytes + change_bytes + calls * slopes.call_overhead_bytes(),
        logic_ms + calls * first_call_ms,
        slopes.at(MEMBER_STATE, "memory_kb", NODES),
    )


def _load_sharing_role(slopes: Slopes) -> Role:
    """Returns the cost of sending own load reports and decoding those of all others."""
    own_per_s = REPORTS_PER_REQUEST * REQUESTS_PER_S / NODES
    sent_per_s = own_per_s * slopes.at(RECEIVERS, "sent_by_its_instance", NODES)
    received_per_s = REPORTS_PER_REQUEST * REQUESTS_PER_S
    encode_us = own_per_s * slopes.at(REPORT, "cpu_us_to_make", ASSIGNMENTS_PER_REPORT)
    decode_us = received_per_s * slopes.at(
        REPORT, "cpu_us_to_read", ASSIGNMENTS_PER_REPORT
    )
    return Role(
        "load sharer, one group of all instances",
        0.0,
        sent_per_s * slopes.at(REPORT, "datagram_bytes", ASSIGNMENTS_PER_REPORT),
        (encode_us + decode_us) / 1000,
        None,
    )


def _connections_role(slopes: Slopes) -> Role:
    per_connection_kb = slopes.per_unit(FIRST_CALL, "memory_kb_both_sides")
    return Role("connections with all others", 0, 0, 0, per_connection_kb * NODES)

"""What each role costs one node at the target's size, worked out from the slopes."""

from __future__ import annotations

from typing import Sequence

import attrs

from bench.control._sample import Slope

NODES = 390
WORKERS = 940
ORGANISATIONS = 18_000
REQUESTS_PER_S = 4600.0
CHANGES_PER_DAY = 1300
MEMBER_CHANGES_PER_DAY = 3 * (290 + 26)
ROUTES = 100
CLAIMED_SHARE = 0.05
RENEW_PERIOD_S = 3.0
DAY_S = 86_400.0

# Of six measured instances, one in six calls stays in its process; of the fleet, few.
_REMOTE_GROWTH = (1 - 1 / NODES) / (1 - 1 / 6)
_BASE64_GROWTH = 4 / 3

MEMBERSHIP = "membership, quiet, per member"
MEMBER_CHANGE = "membership, one change, per member"
MEMBER_STATE = "membership, state, per member"
LIMITS = "limits, seldom, six instances together"
LIMITS_STATE = "limits, state of one instance"
LOOKUP = "look-up of addresses"
GRANTS = "grants, six instances"
CLAIMS = "claims, six instances"
TABLES_CHANGE = "one change of the tables"
TABLES_QUIET = "following the tables, quiet"
LEASES = "one renewal of leases"
CALL = "call over loopback"
FIRST_CALL = "first call on a connection"


@attrs.frozen
class Role:
    """The cost of one role on one node; it sends and receives about the same.

    :param calls_per_s: calls that it sends to other instances.
    :param sent_bytes_per_s: bytes on the wire one way, without TCP's own headers.
    :param cpu_ms_per_s: an upper bound; packing counts twice.
    :param memory_kb: its state; None if it was not measured.
    """

    name: str
    calls_per_s: float
    sent_bytes_per_s: float
    cpu_ms_per_s: float
    memory_kb: float | None


class Slopes:
    """Looks up fitted lines by matter and figure."""

    def __init__(self, slopes: Sequence[Slope]) -> None:
        self._by_key = {(slope.matter, slope.figure): slope for slope in slopes}

    def at(self, matter: str, figure: str, size: float) -> float:
        """Returns the figure at a size, by its line."""
        slope = self._by_key[matter, figure]
        return slope.at_zero + slope.per_unit * size

    def per_unit(self, matter: str, figure: str) -> float:
        """Returns what one unit of size adds."""
        return self._by_key[matter, figure].per_unit

    def call_cpu_ms(self) -> float:
        """Returns a call's processor time on both sides together."""
        return self.at(CALL, "cpu_us_per_call_both_sides", 0) / 1000

    def call_overhead_bytes(self) -> float:
        """Returns a call's bytes on the wire beyond its two messages."""
        return self.at(CALL, "wire_bytes_over_messages", 0)


def roles(fitted: Sequence[Slope]) -> list[Role]:
    """Returns each role's cost on one node of the target."""
    slopes = Slopes(fitted)
    return [
        _look_up(slopes),
        _admission(slopes),
        _dispatcher(slopes),
        _claim_keeper(slopes),
        _table_follower(slopes),
        _member(slopes),
        _order_holder(slopes),
        _connections(slopes),
    ]


def lease_appends_per_s() -> float:
    """Returns the log's appends for leases: one per node and renewal."""
    return NODES / RENEW_PERIOD_S


def claim_appends_per_s(fitted: Sequence[Slope]) -> float:
    """Returns the log's appends for claims."""
    return Slopes(fitted).at(CLAIMS, "appends_per_s", REQUESTS_PER_S * CLAIMED_SHARE)


def _remote(slopes: Slopes, name: str, per_s: float, calls: float, sent: float) -> Role:
    """Returns the cost of what is sent, from calls and message bytes per event."""
    calls_per_s = per_s * calls * _REMOTE_GROWTH
    message_bytes = per_s * sent * _REMOTE_GROWTH
    wire_bytes = message_bytes + calls_per_s * slopes.call_overhead_bytes()
    return Role(name, calls_per_s, wire_bytes, calls_per_s * slopes.call_cpu_ms(), 0.0)


def _look_up(slopes: Slopes) -> Role:
    cpu_ms = slopes.at(LOOKUP, "cpu_us_per_lookup", NODES) / 1000
    return Role("look-up, one per request", 0, 0, cpu_ms * REQUESTS_PER_S / NODES, 0)


def _admission(slopes: Slopes) -> Role:
    per_s = REQUESTS_PER_S / NODES
    requests = slopes.per_unit(LIMITS, "requests_per_s")
    calls = slopes.per_unit(LIMITS, "calls_per_s") / requests
    sent = slopes.per_unit(LIMITS, "sent_bytes_per_s") / requests
    logic_ms = slopes.per_unit(LIMITS, "cpu_ms_per_s") / requests * per_s
    owner_ms = slopes.at(LOOKUP, "cpu_us_per_owner", NODES) / 1000 * per_s
    shares_kb = slopes.per_unit(LIMITS_STATE, "share_memory_kb") * ORGANISATIONS
    buckets_kb = slopes.per_unit(LIMITS_STATE, "bucket_memory_kb")
    role = _remote(slopes, "admission, organisation keeper", per_s, calls, sent)
    return attrs.evolve(
        role,
        cpu_ms_per_s=role.cpu_ms_per_s + logic_ms + owner_ms,
        memory_kb=shares_kb + buckets_kb * ORGANISATIONS / NODES,
    )


def _dispatcher(slopes: Slopes) -> Role:
    per_s = REQUESTS_PER_S / NODES
    calls = slopes.at(GRANTS, "calls_per_request", WORKERS / NODES)
    sent = slopes.at(GRANTS, "sent_bytes_per_request", WORKERS / NODES)
    logic_ms = slopes.at(GRANTS, "cpu_ms_per_request", WORKERS) * per_s
    role = _remote(slopes, "dispatcher", per_s, calls, sent)
    return attrs.evolve(
        role,
        cpu_ms_per_s=role.cpu_ms_per_s + logic_ms,
        memory_kb=slopes.at(GRANTS, "memory_kb_with_engines", WORKERS),
    )


def _claim_keeper(slopes: Slopes) -> Role:
    per_s = REQUESTS_PER_S * CLAIMED_SHARE / NODES
    calls = slopes.at(CLAIMS, "calls_per_claim", 0)
    sent = slopes.at(CLAIMS, "sent_bytes_per_claim", 0)
    role = _remote(slopes, "claim keeper", per_s, calls, sent)
    logic_ms = slopes.at(CLAIMS, "cpu_ms_per_claim", 0) * per_s
    cpu_ms = role.cpu_ms_per_s + logic_ms
    return attrs.evolve(role, cpu_ms_per_s=cpu_ms, memory_kb=None)


def _table_follower(slopes: Slopes) -> Role:
    calls = slopes.at(TABLES_QUIET, "calls_per_s", NODES)
    overhead = calls * slopes.call_overhead_bytes()
    quiet_bytes = slopes.at(TABLES_QUIET, "sent_bytes_per_s", NODES) + overhead
    changes_per_s = CHANGES_PER_DAY / DAY_S
    record_bytes = slopes.at(TABLES_CHANGE, "record_bytes", ROUTES)
    read_bytes = record_bytes * _BASE64_GROWTH * changes_per_s
    change_ms = slopes.at(TABLES_CHANGE, "cpu_ms_per_change", ROUTES) * changes_per_s
    return Role(
        f"table follower, {ROUTES} routes",
        calls,
        quiet_bytes + read_bytes,
        calls * slopes.call_cpu_ms() + change_ms,
        None,
    )


def _member(slopes: Slopes) -> Role:
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


def _order_holder(slopes: Slopes) -> Role:
    records_per_s = lease_appends_per_s()
    record_bytes = slopes.at(LEASES, "record_bytes", 0) * _BASE64_GROWTH
    cpu_us = slopes.at(LEASES, "cpu_us_per_record", WORKERS / NODES)
    return Role(
        f"order holder, renewing each {RENEW_PERIOD_S:g} s",
        0.0,
        records_per_s * record_bytes,
        records_per_s * cpu_us / 1000,
        None,
    )


def _connections(slopes: Slopes) -> Role:
    per_connection_kb = slopes.per_unit(FIRST_CALL, "memory_kb_both_sides")
    return Role("connections with all others", 0, 0, 0, per_connection_kb * NODES)

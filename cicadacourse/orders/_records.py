"""The records of the stream of leases, and their JSON form."""

from __future__ import annotations

import json

import attrs
import cattrs
from returns.result import Failure, Result, Success

STREAM = "leases"

_KIND = "kind"


@attrs.frozen
class HeldLease:
    """A lease and the grant that it is from.

    :param name: what is leased: an endpoint, or a load slot of a pool.
    :param token: offset of the record that granted it.
    """

    name: str
    token: int


@attrs.frozen
class Release:
    """A lease that its holder gives back.

    :param name: what is leased.
    :param token: offset of the record that granted it.
    :param clean: whether no order of this or an earlier holder can be under way
        longer than the time limit of an order from now.
    """

    name: str
    token: int
    clean: bool = False


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """Renews every lease that an instance holds; it may claim and release some.

    :param holder: the run of an instance.
    :param sequence: grows by one per record of the holder.
    :param tables_version: version of the tables that the holder goes by.
    """

    holder: str
    sequence: int
    tables_version: int = 0
    claims: tuple[str, ...] = ()
    releases: tuple[Release, ...] = ()


@attrs.frozen
class Lease:
    """Who holds a lease, by the log's order.

    :param holder: the run that holds it, or held it last.
    :param token: offset of the record that granted it: the fencing token.
    :param expires_ms: when it ends, by the log's clock.
    :param released: whether its holder gave it back cleanly.
    :param follows_release: whether the holder before gave it back cleanly.
    """

    holder: str
    token: int
    expires_ms: int
    released: bool = False
    follows_release: bool = False


@attrs.frozen(kw_only=True)
class Snapshot:
    """All live leases, so that a newcomer need not read the whole stream.

    :param as_of: offset of the first record that is not counted in.
    :param time_ms: the latest log time that is counted in.
    """

    as_of: int
    time_ms: int
    tables_version: int
    leases_by_name: dict[str, Lease]


def encode(record: LeaseRecord | Snapshot) -> bytes:
    """Returns the JSON form of a record."""
    fields = {_KIND: type(record).__name__, **_converter.unstructure(record)}
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(body: bytes) -> Result[LeaseRecord | Snapshot, str]:
    """Returns the record of a JSON form, or why there is none."""
    try:
        fields = json.loads(body)
        cls = _CLASSES_BY_KIND[fields.pop(_KIND)]
        return Success(_converter.structure(fields, cls))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failure(repr(error))
    except cattrs.BaseValidationError as error:
        return Failure(repr(error))


_converter = cattrs.Converter(omit_if_default=True)
_CLASSES_BY_KIND = {cls.__name__: cls for cls in (LeaseRecord, Snapshot)}

"""Limits with one mechanism switched off each, to show what it is for."""

from __future__ import annotations

from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.limits import Limits
from cicadacourse.limits._bucket import TokenBucket
from cicadacourse.limits._share import Share
from cicadacourse.util.clock import now


def with_own_buckets(app: Application) -> Limits:
    """Gives every instance a whole bucket of its own."""
    limits = Limits(app)
    bucket_by_organisation = {}

    async def admit(organisation, route, tokens, deadline):
        rate, burst = route.organisation_rate, route.organisation_burst
        bucket = bucket_by_organisation.setdefault(
            organisation, TokenBucket(rate, burst, burst, now())
        )
        bucket.fill(now())
        if bucket.take(tokens):
            return Success(None)
        return Failure(Error(ErrorKind.LIMIT_EXCEEDED, retry_after_s=1.0))

    limits.admit = admit
    return limits


class _OneRequestShare(Share):
    def wanted(self, needed, at):
        return needed


def asking_for_each_request(app: Application) -> Limits:
    """Asks the keeper for no more than the request at hand needs."""
    limits = Limits(app)

    def share(organisation, route):
        share_id = (organisation, route.name)
        return limits._share_by_id.setdefault(share_id, _OneRequestShare(1.0))

    limits._share = share
    return limits


def _with_change(app: Application, change) -> Limits:
    """Applies a change to the keeper's part once it is made."""
    limits = Limits(app)
    note_members = limits._note_members

    def note_and_change():
        note_members()
        if limits._keeper is not None:
            change(limits._keeper)

    limits._note_members = note_and_change
    return limits


def with_full_new_buckets(app: Application) -> Limits:
    """Starts a bucket that moved here as if nobody had used it."""

    def change(keeper):
        keeper._owned_s = lambda request: 1e9

    return _with_change(app, change)


def without_local_allowance(app: Application) -> Limits:
    """Refuses everything while the keeper does not answer."""
    limits = Limits(app)

    def refuse(share, route, tokens):
        return Failure(Error(ErrorKind.LIMIT_EXCEEDED, retry_after_s=1.0))

    limits._admit_locally = refuse
    return limits


def with_lasting_slices(app: Application) -> Limits:
    """Lets slices be spent whenever."""
    limits = Limits(app)

    class LastingShare(Share):
        def add(self, tokens, expires_at, at):
            super().add(tokens, float("inf"), at)

    def share(organisation, route):
        share_id = (organisation, route.name)
        return limits._share_by_id.setdefault(share_id, LastingShare(1.0))

    limits._share = share
    return limits

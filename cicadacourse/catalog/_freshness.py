"""How recent the evidence is that the configuration in force is the newest one.

Expected load: configurations change up to once a second, while some instances are cut
off from the store, slow or just resumed. A request is denied only by a configuration
that was surely in force lately, and none is served by one that was superseded long ago.
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs

NEVER = float("-inf")

# Share of the bound within which a denial may rely on evidence. The rest of the bound
# is left for the request and the response in transit.
DENIAL_SHARE = 0.8
# Share of the bound for which requests are served by a version that is known to be
# superseded. The rest is left for the time until the newer version was heard of.
SERVING_SHARE = 0.8
# After a longer stall of the process, reports may have waited for it in its socket.
MAX_STALL_S = 0.6
# Within this time after a stall, the process has received all reports that waited.
STALL_GRACE_S = 0.6


@attrs.define
class _Evidence:
    """What other instances reported of one version.

    :ivar heard_at: when this instance first heard of it, loop time in seconds.
    :ivar confirmed_at: the last time at which it was the newest one.
    """

    heard_at: float
    confirmed_at: float = NEVER


@attrs.define
class ConfigurationFreshness:
    """Judges by evidence whether the version in force may decide on requests.

    Evidence comes from this instance's own reads of the store and from the others'
    reports of theirs. An instance reports no evidence that it only received, as that
    would seem younger with each report. The clock counts pauses of this process, so
    evidence ages during them.

    :param bound_s: for how many seconds after it was superseded a version may be
        applied.
    :ivar version: the version in force, 0 if there is none.
    :ivar read_at: the last time at which this instance's own reads show that no newer
        version existed, loop time in seconds.
    """

    bound_s: float
    version: int = 0
    read_at: float = NEVER
    _evidence_by_version: dict[int, _Evidence] = attrs.field(factory=dict)
    _news: asyncio.Event = attrs.field(factory=asyncio.Event)
    _ticked_at: float | None = None
    _distrusts_until: float = NEVER

    @property
    def newest_version(self) -> int:
        """The newest version that this instance has heard of."""
        return max(self._evidence_by_version, default=self.version)

    @property
    def confirmed_at(self) -> float:
        """The last time at which the version in force was the newest one."""
        evidence = self._evidence_by_version.get(self.version)
        return max(self.read_at, evidence.confirmed_at if evidence else NEVER)

    def hear_of(self, version: int, now_s: float) -> bool:
        """Records that a version exists; returns whether it supersedes all known ones.

        :param now_s: the present, loop time in seconds.
        """
        if version < max(1, self.version) or version in self._evidence_by_version:
            return False
        is_newest = version > self.newest_version
        self._evidence_by_version[version] = _Evidence(heard_at=now_s)
        return is_newest and self.version > 0

    def record_read(self, as_of: float) -> None:
        """Records that the store held no version newer than that in force.

        Reports of newer versions that came before are thereby disproved.

        :param as_of: when it surely held none, loop time in seconds.
        """
        disproved = [
            version
            for version, evidence in self._evidence_by_version.items()
            if version > self.version and evidence.heard_at <= as_of
        ]
        for version in disproved:
            del self._evidence_by_version[version]
        self.read_at = max(self.read_at, as_of)
        self._tell_news()

    def confirm(self, version: int, at_s: float, now_s: float) -> None:
        """Records another's report that no version newer than this one existed.

        :param at_s: when none existed, loop time in seconds.
        :param now_s: the present, loop time in seconds.
        """
        self.hear_of(version, now_s)
        if self._may_be_late(now_s):
            return
        evidence = self._evidence_by_version.get(version)
        if evidence is None or at_s <= evidence.confirmed_at:
            return
        evidence.confirmed_at = at_s
        self._tell_news()

    def put_in_force(self, version: int, now_s: float) -> None:
        """Records that a version is in force from now on."""
        self.hear_of(version, now_s)
        self.version = version
        for older in [item for item in self._evidence_by_version if item < version]:
            del self._evidence_by_version[older]
        self._tell_news()

    def superseded_for_s(self, now_s: float) -> float:
        """Returns for how long a newer version has been known, 0 if there is none."""
        return max(
            (
                now_s - evidence.heard_at
                for version, evidence in self._evidence_by_version.items()
                if version > self.version
            ),
            default=0.0,
        )

    def may_deny(self, now_s: float) -> bool:
        """Whether a request that the version in force does not allow may be denied.

        Not if a newer version is known or may have come into force since, as that one
        may allow the request.
        """
        if self.newest_version > self.version:
            return False
        return now_s - self.confirmed_at <= DENIAL_SHARE * self.bound_s

    def may_serve(self, now_s: float) -> bool:
        """Whether a request that the version in force allows may be served.

        Not if it has been known for too long that the version is superseded. Without
        evidence it may: while the store is down, no instance has any.
        """
        return self.superseded_for_s(now_s) <= SERVING_SHARE * self.bound_s

    def tick(self, now_s: float) -> None:
        """Notices stalls of this process; to be called every quarter of a second.

        :param now_s: the present, loop time in seconds.
        """
        if self._has_stalled(now_s):
            self._distrusts_until = now_s + STALL_GRACE_S
        self._ticked_at = now_s

    def _may_be_late(self, now_s: float) -> bool:
        """Whether a report that is received now may have waited for this process."""
        return self._has_stalled(now_s) or now_s < self._distrusts_until

    def _has_stalled(self, now_s: float) -> bool:
        return self._ticked_at is not None and now_s - self._ticked_at > MAX_STALL_S

    async def wait_for_news(self, timeout_s: float) -> bool:
        """Waits for new evidence or a new version; returns whether any came."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._news.wait()
                return True
        return False

    def _tell_news(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

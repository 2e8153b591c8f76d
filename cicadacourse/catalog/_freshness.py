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
SERVING_SHARE = 0.5


@attrs.define
class _Evidence:
    """What is known of one version.

    :ivar heard_at: when this instance first heard of it, loop time in seconds.
    :ivar confirmed_at: the last time at which it was surely the newest one.
    """

    heard_at: float
    confirmed_at: float = NEVER


@attrs.define
class ConfigurationFreshness:
    """Judges by evidence whether the version in force may decide on requests.

    Evidence comes from this instance's own reads of the store and from the others'
    reports. The clock counts pauses of this process, so evidence ages during them.

    :param bound_s: for how many seconds after it was superseded a version may be
        applied.
    :ivar version: the version in force, 0 if there is none.
    """

    bound_s: float
    version: int = 0
    _evidence_by_version: dict[int, _Evidence] = attrs.field(factory=dict)
    _news: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def newest_version(self) -> int:
        """The newest version that this instance has heard of."""
        return max(self._evidence_by_version, default=self.version)

    @property
    def confirmed_at(self) -> float:
        """The last time at which the version in force was surely the newest one."""
        evidence = self._evidence_by_version.get(self.version)
        return evidence.confirmed_at if evidence else NEVER

    def hear_of(self, version: int, now_s: float) -> bool:
        """Records that a version exists; returns whether it supersedes all known ones.

        :param now_s: the present, loop time in seconds.
        """
        if version < max(1, self.version) or version in self._evidence_by_version:
            return False
        is_newest = version > self.newest_version
        self._evidence_by_version[version] = _Evidence(heard_at=now_s)
        return is_newest and self.version > 0

    def confirm(self, version: int, at_s: float, now_s: float) -> None:
        """Records that no version newer than this one existed at some time.

        :param at_s: that time, loop time in seconds.
        :param now_s: the present, loop time in seconds.
        """
        self.hear_of(version, now_s)
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

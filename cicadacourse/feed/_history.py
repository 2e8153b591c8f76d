"""Keeps recent versions of the configuration, to send other instances only changes."""

from __future__ import annotations

import attrs

from cicadacourse.feed._delta import make_delta

# Instances that are further behind receive the newest version whole.
MAX_VERSIONS = 16
# Holds as many versions of the largest configuration that the store accepts.
MAX_BYTES = 4_194_304
# Stands for the empty base of a delta that holds a version whole.
NO_VERSION = 0


@attrs.define
class ConfigurationHistory:
    """The bytes of the newest version and of some before it, by version.

    Deltas to the newest version are kept until the next one: all neighbours ask for the
    same at about the same time.
    """

    _value_by_version: dict[int, bytes] = attrs.field(factory=dict)
    _delta_by_base: dict[int, bytes] = attrs.field(factory=dict)

    @property
    def version(self) -> int:
        """The newest version, ``NO_VERSION`` if there is none."""
        return next(reversed(self._value_by_version), NO_VERSION)

    @property
    def value(self) -> bytes | None:
        """The bytes of the newest version, None if there is none."""
        return self._value_by_version.get(self.version)

    def put(self, version: int, value: bytes) -> None:
        """Adds a version that is newer than all others.

        The oldest ones are dropped while there are more than ``MAX_VERSIONS``, or more
        bytes than ``MAX_BYTES``; the newest is always kept.
        """
        self._delta_by_base.clear()
        self._value_by_version[version] = value
        while len(self._value_by_version) > 1 and self._is_full():
            del self._value_by_version[next(iter(self._value_by_version))]

    def find(self, version: int) -> bytes | None:
        """Returns the bytes of a version, None if they are not held."""
        return b"" if version == NO_VERSION else self._value_by_version.get(version)

    def delta(self, base_version: int) -> bytes | None:
        """Returns the delta from a version to the newest one, None if there is none.

        :param base_version: ``NO_VERSION`` for the newest version whole.
        """
        base, target = self.find(base_version), self.value
        if base is None or target is None:
            return None
        if base_version not in self._delta_by_base:
            self._delta_by_base[base_version] = make_delta(base, target)
        return self._delta_by_base[base_version]

    def _is_full(self) -> bool:
        values = self._value_by_version.values()
        return len(values) > MAX_VERSIONS or sum(map(len, values)) > MAX_BYTES

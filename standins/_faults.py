"""Faults that a stand-in can be told to show."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

CLEAR = "none"


@attrs.define
class Faults:
    """The faults of one stand-in; subclasses add one field per fault.

    :param silence: calls are accepted and never answered until it is switched off.
    """

    silence: bool = False

    def set(self, name: str, value: Any = True) -> None:
        """Sets one fault; ``none`` clears them all.

        :raises KeyError: if there is no fault of that name.
        """
        if name == CLEAR:
            self.clear()
            return
        if name not in attrs.fields_dict(type(self)):
            raise KeyError(name)
        setattr(self, name, value)

    def clear(self) -> None:
        """Switches every fault off."""
        for field in attrs.fields(type(self)):
            setattr(self, field.name, field.default)

    async def pause(self) -> None:
        """Returns once the stand-in is not silent."""
        while self.silence:
            await asyncio.sleep(SILENCE_CHECK_S)


SILENCE_CHECK_S = 0.1

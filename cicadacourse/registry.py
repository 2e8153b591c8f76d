"""Registries that map names to implementations, filled by decorators."""

from __future__ import annotations

import difflib
from typing import Callable, Generic, Iterable, Iterator, TypeVar

T = TypeVar("T")


class UnknownNameError(LookupError):
    """Raised if nothing is registered under a name."""


class Registry(Generic[T]):
    """Maps names to the registered implementations of one subject.

    >>> shapes = Registry("shape")
    >>> @shapes.register("round")
    ... class Round: ...
    >>> shapes.get("round").__name__
    'Round'
    >>> shapes.get("rond")
    Traceback (most recent call last):
    ...
    cicadacourse.registry.UnknownNameError: unknown shape 'rond'; did you mean 'round'?

    :param subject: what is registered, such as "service", for error messages.
    """

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self._by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its target under a name.

        :raises ValueError: from the decorator, if the name has another target.
        """

        def decorate(target: T) -> T:
            known = self._by_name.get(name)
            if known is not None and known is not target:
                raise ValueError(f"{self.subject} {name!r} is registered twice")
            self._by_name[name] = target
            return target

        return decorate

    def get(self, name: str) -> T:
        """Returns what is registered under a name.

        :raises UnknownNameError: if nothing is; it suggests the most similar name.
        """
        if name not in self._by_name:
            hint = suggest(name, self._by_name)
            raise UnknownNameError(f"unknown {self.subject} {name!r}{hint}")
        return self._by_name[name]

    def names(self) -> list[str]:
        """Returns the registered names, sorted."""
        return sorted(self._by_name)

    def __contains__(self, name: object) -> bool:
        return name in self._by_name

    def __iter__(self) -> Iterator[str]:
        return iter(self.names())


def suggest(name: str, known: Iterable[str]) -> str:
    """Returns ``; did you mean …?`` with the most similar known name, or no text."""
    nearest = difflib.get_close_matches(name, list(known), n=1)
    return f"; did you mean {nearest[0]!r}?" if nearest else ""

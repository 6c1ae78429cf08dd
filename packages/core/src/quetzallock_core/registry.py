"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .exceptions import Finding, InvalidInputError

T = TypeVar("T")


class Registry(Generic[T]):
    """Implementations of one kind of behaviour, by name."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under `name`."""

        def add(target: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._entries[name] = target
            return target

        return add

    def get(self, name: str) -> T:
        """Return the entry registered under `name`.

        Raises:
            InvalidInputError: There is no such entry.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise InvalidInputError([Finding(self._kind, f"{name!r} is not one of {known}")])
        return self._entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))

"""Registries of interchangeable implementations, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from damaskjunction.core.errors import DamaskjunctionError

T = TypeVar("T")


class UnknownNameError(DamaskjunctionError, KeyError):
    """A registry has no entry of this name; the message lists the registered names."""

    def __str__(self) -> str:
        return str(self.args[0])


class Registry(Generic[T]):
    """Registered objects of one kind, by name.

    Parameters
    ----------
    kind : str
        What the entries are, for error messages, such as ``"usage meter"``.

    Examples
    --------
    >>> greetings: Registry[Callable[[], str]] = Registry("greeting")
    >>> @greetings.register("plain")
    ... def greet() -> str:
    ...     return "hello"
    >>> greetings.get("plain")()
    'hello'
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its object under ``name``.

        Raises
        ------
        ValueError
            If the name is already registered.
        """

        def decorate(entry: T) -> T:
            if name in self._entries_by_name:
                raise ValueError(f"{self.kind} {name!r} is already registered")
            self._entries_by_name[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry registered under ``name``.

        Raises
        ------
        UnknownNameError
            If there is none.
        """
        try:
            return self._entries_by_name[name]
        except KeyError:
            known = ", ".join(sorted(self._entries_by_name))
            raise UnknownNameError(
                f"no {self.kind} is called {name!r}; known: {known}"
            ) from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries_by_name))

    def __contains__(self, name: object) -> bool:
        return name in self._entries_by_name

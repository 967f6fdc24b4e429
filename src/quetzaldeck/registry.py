"""Registries that map names to interchangeable implementations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")
K = TypeVar("K", bound=type)


class UnknownNameError(LookupError):
    """Raised when no class is registered under the requested name."""


class Registry(Generic[T]):
    """Maps names to the classes of one family, which decorators register.

    :param family: what the classes implement, for error messages, e.g.
        ``queue policy``
    """

    def __init__(self, family: str) -> None:
        self._family = family
        self._entries: dict[str, type[T]] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """:returns: the registered names in alphabetical order"""
        return tuple(sorted(self._entries))

    def register(self, name: str) -> Callable[[K], K]:
        """Return a class decorator that registers the class under ``name``.

        :param name: the name that settings and bundles use
        :raises ValueError: if the name is already registered
        """
        if name in self._entries:
            msg = f"{self._family} {name!r} is registered twice; choose another name"
            raise ValueError(msg)

        def decorate(cls: K) -> K:
            self._entries[name] = cls
            return cls

        return decorate

    def get(self, name: str) -> type[T]:
        """:returns: the class registered under ``name``

        :raises UnknownNameError: if there is none; the message lists all names
        """
        try:
            return self._entries[name]
        except KeyError:
            choices = ", ".join(self.names)
            msg = f"no {self._family} is named {name!r}; choose one of: {choices}"
            raise UnknownNameError(msg) from None


__all__ = ("Registry", "UnknownNameError")

"""Options shared by all command-line interfaces."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import click

from quetzaldeck.version import __version__

if TYPE_CHECKING:
    from collections.abc import Callable

F = TypeVar("F", bound="Callable[..., object]")

EPILOG = (
    "Exit codes: 0 ok, 1 failed, 2 usage, 3 faulty settings, 4 bad signature, "
    "5 requests were aborted."
)


def version_option(program: str) -> Callable[[F], F]:
    """:returns: the ``--version`` option of a program"""
    return click.version_option(__version__, prog_name=program)


def settings_option(*, envvar: str | None = None) -> Callable[[F], F]:
    """:returns: the ``--settings`` option of a program

    :param envvar: environment variable that may hold the path
    """
    return click.option(
        "--settings",
        "settings_path",
        type=click.Path(path_type=Path),
        envvar=envvar,
        required=True,
        help="YAML file with the settings; see 'quetzaldeck settings reference'.",
    )


__all__ = ("EPILOG", "settings_option", "version_option")

"""Declaration of an option, attached to a field by ``Annotated``."""

from __future__ import annotations

from typing import NamedTuple


class Option(NamedTuple):
    """Meaning and allowed values of one field of a settings class.

    The key, the type and the default are the name, the annotation and the default of
    the field itself, so that nothing is declared twice.

    :param description: text for the reference page and for messages
    :param unit: unit of a number, e.g. ``ms`` or ``bytes``
    :param minimum: smallest number, or shortest length of a text or list
    :param maximum: largest number, or longest length of a text or list
    :param choices: allowed texts; empty: any text
    :param pattern: regular expression that the whole text must match; empty: any text
    :param form: the pattern in readable form, e.g. ``IP:PORT``
    """

    description: str
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    pattern: str = ""
    form: str = ""


__all__ = ("Option",)

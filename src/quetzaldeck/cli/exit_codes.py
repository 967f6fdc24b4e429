"""Exit codes of all programs."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes, as listed in the help of each program."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_SETTINGS = 3
    BAD_SIGNATURE = 4
    REQUESTS_ABORTED = 5


__all__ = ("ExitCode",)

"""Paths of calls of plain services: prefix removal and non-repeatable patterns."""

from __future__ import annotations

import fnmatch
import posixpath
from typing import TYPE_CHECKING
from urllib.parse import unquote

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    from quetzaldeck.bundle import ServiceSpec


def strip_prefix(service: ServiceSpec, raw_path: str) -> str:
    """:returns: the path without the service's prefix, with the query string

    :param raw_path: path and query string as received, still percent-encoded
    :raises RequestError: if the prefix itself is percent-encoded
    """
    if not raw_path.startswith(service.prefix):
        detail = f"the prefix {service.prefix} must not be percent-encoded"
        raise RequestError(Failure(Reason.MALFORMED_REQUEST, detail=detail))
    return raw_path[len(service.prefix) :]


def may_repeat(service: ServiceSpec, method: str, path: str) -> bool:
    """:returns: whether a call of ``service`` may run more than once

    The same path can be written in many ways (``/%62ookings``, ``//bookings``,
    ``/x/../bookings``), which the service may treat as equal. If only one form were
    matched, a booking written in another form could be retried and run twice. So a
    match of any form makes the call non-repeatable.

    :param path: path without the prefix, with the query string
    """
    forms = _list_forms(path.partition("?")[0])
    return not any(
        pattern.method in ("*", method) and fnmatch.fnmatchcase(form, pattern.path)
        for pattern in service.non_repeatable
        for form in forms
    )


def _list_forms(path: str) -> tuple[str, ...]:
    decoded = unquote(path)
    normal = posixpath.normpath("/" + decoded.lstrip("/"))
    without_parameters = normal.partition(";")[0]
    return path, decoded, normal, without_parameters, without_parameters.rstrip("/")


__all__ = ("may_repeat", "strip_prefix")

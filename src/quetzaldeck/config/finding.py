"""Findings: faults of a document, with their location."""

from __future__ import annotations

from typing import NamedTuple


class Finding(NamedTuple):
    """One fault in a document.

    :param place: dotted path inside the document, e.g. ``upstreams[2].kv_tokens``
    :param message: what is wrong and, where possible, how to correct it
    :param line: line in the file, counted from 1; 0 if unknown
    :param source: file name or other name of the document
    """

    place: str
    message: str
    line: int = 0
    source: str = ""

    def render(self) -> str:
        """:returns: the finding as one line of text"""
        where = f"{self.source}:{self.line}" if self.line else self.source
        prefix = f"{where}: " if where else ""
        return f"{prefix}{self.place or '(document)'}: {self.message}"


class FindingError(ValueError):
    """One finding as an exception; part of a :class:`FindingsError`."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(finding.render())
        self._finding = finding

    @property
    def finding(self) -> Finding:
        """:returns: the finding that was raised"""
        return self._finding


class FindingsError(ExceptionGroup[FindingError]):
    """Raised with all findings of one document."""

    @property
    def findings(self) -> tuple[Finding, ...]:
        """:returns: the findings in the order in which they were found"""
        return tuple(error.finding for error in self.exceptions)  # type: ignore[union-attr]


def raise_findings(name: str, findings: list[Finding]) -> None:
    """Raise all findings together, if there are any.

    :param name: name of the checked document, for the error message
    :raises FindingsError: if ``findings`` is not empty
    """
    if findings:
        raise FindingsError(
            f"{name}: {len(findings)} findings",
            [FindingError(finding) for finding in findings],
        )


__all__ = ("Finding", "FindingError", "FindingsError", "raise_findings")

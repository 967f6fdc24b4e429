"""Typed loading of YAML files, YAML or JSON text, and plain data."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from quetzaldeck.config.convert import Converter
from quetzaldeck.config.document import Document, parse_document, read_document
from quetzaldeck.config.finding import Finding, raise_findings

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar("T")


def load_file(path: Path, cls: type[T]) -> T:
    """Load a YAML file.

    :param cls: ``NamedTuple`` class that declares the options
    :raises FindingsError: with every fault of the file
    """
    findings: list[Finding] = []
    value = check_file(path, cls, findings)
    raise_findings(str(path.name), findings)
    assert value is not None
    return value


def check_file(path: Path, cls: type[T], findings: list[Finding]) -> T | None:
    """Load a YAML file and collect its faults.

    :param cls: ``NamedTuple`` class that declares the options
    :param findings: list to which every fault is appended
    :returns: the settings; ``None`` if there are findings
    """
    document = read_document(path, findings)
    if document is None:
        return None
    value = Converter(document, findings, base=path.parent).convert(cls)
    return None if findings else value


def load_text(text: str, cls: type[T], source: str, *, base: Path | None = None) -> T:
    """Load YAML or JSON text.

    :param cls: ``NamedTuple`` class that declares the options
    :param source: name of the document, shown in findings
    :param base: folder against which relative file paths are resolved
    :raises FindingsError: with every fault of the text
    """
    findings: list[Finding] = []
    document = parse_document(text, source, findings)
    value = None
    if document is not None:
        value = Converter(document, findings, base=base).convert(cls)
    raise_findings(source, findings)
    assert value is not None
    return value


def load_data(data: Any, cls: type[T], source: str) -> T:
    """Convert plain data, e.g. decoded JSON.

    :param cls: ``NamedTuple`` class that declares the options
    :param source: name of the document, shown in findings
    :raises FindingsError: with every fault of the data
    """
    findings: list[Finding] = []
    value = Converter(Document(data, {}, source), findings).convert(cls)
    raise_findings(source, findings)
    assert value is not None
    return value


__all__ = ("check_file", "load_data", "load_file", "load_text")

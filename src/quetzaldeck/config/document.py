"""Parsing of YAML documents, with the line of each value."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import yaml

from quetzaldeck.config.finding import Finding

if TYPE_CHECKING:
    from pathlib import Path


MAX_DEPTH = 40
MAX_VALUES = 1_000_000
"""Limits for documents with aliases. Since an alias repeats a whole value, a few lines
of nested aliases could expand to billions of values, and an alias that contains itself
would expand without end."""


class Document(NamedTuple):
    """Plain data of a YAML document, with the line of each value.

    :param data: dicts, lists, strings, numbers, booleans and ``None``
    :param lines: line of each value, counted from 1, by dotted path
    :param source: file name shown in findings
    """

    data: Any
    lines: dict[str, int]
    source: str


def join_place(place: str, key: str | int) -> str:
    """:returns: the dotted path of member ``key`` of the value at ``place``"""
    if isinstance(key, int):
        return f"{place}[{key}]"
    return f"{place}.{key}" if place else key


class _TooLargeError(ValueError):
    """Raised for a document that is nested too deeply or has too many values."""


class _Reader:
    """Converts YAML nodes to plain data and collects findings."""

    def __init__(self, source: str, findings: list[Finding]) -> None:
        self._source = source
        self._findings = findings
        self._loader = yaml.SafeLoader("")
        self._n_values = 0
        self.lines: dict[str, int] = {}

    def read(self, node: yaml.Node, place: str, depth: int = 0) -> Any:
        """Convert a node and all nodes below it.

        :param place: dotted path of the node
        :param depth: number of enclosing nodes
        :returns: plain data
        :raises _TooLargeError: beyond ``MAX_DEPTH`` or ``MAX_VALUES``
        """
        self._n_values += 1
        if depth > MAX_DEPTH or self._n_values > MAX_VALUES:
            msg = f"over {MAX_DEPTH} levels or {MAX_VALUES} values; check aliases"
            raise _TooLargeError(msg)
        self.lines[place] = node.start_mark.line + 1
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, place, depth)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.read(item, join_place(place, index), depth + 1)
                for index, item in enumerate(node.value)
            ]
        try:
            return self._loader.construct_object(node)
        except (yaml.YAMLError, ValueError) as error:
            self._add_finding(place, node, f"cannot be read: {error}")
            return None

    def _read_mapping(
        self, node: yaml.MappingNode, place: str, depth: int
    ) -> dict[str, Any]:
        data: dict[str, Any] = {}
        for key_node, value_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_finding(place, key_node, "a key must be plain text")
                continue
            key = key_node.value
            inner = join_place(place, key)
            if key in data:
                first = self.lines[inner]
                self._add_finding(
                    inner, key_node, f"is given twice, first on line {first}"
                )
                continue
            data[key] = self.read(value_node, inner, depth + 1)
        return data

    def _add_finding(self, place: str, node: yaml.Node, message: str) -> None:
        line = node.start_mark.line + 1
        self._findings.append(Finding(place, message, line, self._source))


def parse_document(text: str, source: str, findings: list[Finding]) -> Document | None:
    """Parse YAML text.

    :param source: file name shown in findings
    :param findings: list to which every fault is appended
    :returns: the document; ``None`` if the text is no YAML, is empty or too large
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        problem = getattr(error, "problem", None) or str(error)
        findings.append(Finding("", f"is not YAML: {problem}", line, source))
        return None
    except RecursionError:
        findings.append(Finding("", "is nested too deeply", 0, source))
        return None
    if node is None:
        findings.append(Finding("", "is empty", 1, source))
        return None
    reader = _Reader(source, findings)
    try:
        return Document(reader.read(node, ""), reader.lines, source)
    except _TooLargeError as error:
        findings.append(Finding("", f"is too large: {error}", 0, source))
        return None


def read_document(path: Path, findings: list[Finding]) -> Document | None:
    """Read and parse a YAML file.

    :param findings: list to which every fault is appended
    :returns: the document; ``None`` if the file cannot be read or parsed
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        findings.append(Finding("", f"cannot be read: {error}", 0, str(path)))
        return None
    return parse_document(text, path.name, findings)


__all__ = ("Document", "join_place", "parse_document", "read_document")

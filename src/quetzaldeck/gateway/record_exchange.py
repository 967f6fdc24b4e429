"""The gateway's side of the exchange of records with its agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.dissemination.record import RecordDraft

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quetzaldeck.dissemination.record import Record
    from quetzaldeck.exchange import AgentView

    RecordHandler = Callable[[Record], None]


class RecordQuery(NamedTuple):
    """Drafts and cursor that the next report to the agent contains."""

    drafts: tuple[RecordDraft, ...]
    cursor: int
    agent_incarnation: str


class RecordExchange:
    """Keeps drafts until the agent has them, and the cursor into the agent's records.

    An exchange may fail after the agent received the drafts. They are then sent again,
    and the agent replaces the earlier ones.
    """

    def __init__(self) -> None:
        self._drafts: dict[tuple[str, str], RecordDraft] = {}
        self._handlers: dict[str, RecordHandler] = {}
        self._cursor = 0
        self._agent_incarnation = ""

    def register_handler(self, kind: str, handler: RecordHandler) -> None:
        """Pass the records of one kind that other VMs publish to ``handler``."""
        self._handlers[kind] = handler

    def put(self, drafts: Iterable[RecordDraft]) -> None:
        """Publish records; a newer one replaces the older one of its kind and key."""
        for draft in drafts:
            self._drafts[draft.kind, draft.key] = draft

    def build_query(self) -> RecordQuery:
        """:returns: drafts and cursor for the next report"""
        return RecordQuery(
            tuple(self._drafts.values()), self._cursor, self._agent_incarnation
        )

    def process_view(self, view: AgentView, sent: RecordQuery) -> None:
        """Process the agent's response to a report that contained ``sent``."""
        for draft in sent.drafts:
            key = (draft.kind, draft.key)
            if self._drafts.get(key) is draft:
                del self._drafts[key]
        self._cursor = view.records_cursor
        self._agent_incarnation = view.agent_incarnation
        for record in view.records:
            handler = self._handlers.get(record.kind)
            if handler is not None:
                handler(record)


__all__ = ("RecordExchange", "RecordQuery")

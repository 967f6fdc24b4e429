"""What an engine that works in passes has to do for a request, or a part of it."""

from __future__ import annotations


class PassWork:
    """A prompt to read and events to write.

    :param n_read_tokens: prompt tokens that this engine reads; 0: other engines have
        read the prompt already
    :param read_ms: time in which an engine that does nothing else reads them
    :param n_events: events to write; 0 for a part that another engine answers
    :param n_context_tokens: tokens that each step of its writing looks at here
    :param n_kv_tokens: memory that it takes, beside what is set aside for it
    :param priority: 0 is read first
    :param is_spread: whether engines beside this one read parts of the prompt; it is
        not written before :meth:`note_parts_read`
    """

    def __init__(
        self,
        work_id: str,
        *,
        n_read_tokens: int,
        read_ms: float,
        n_events: int,
        n_context_tokens: int = 0,
        n_kv_tokens: int = 0,
        priority: int = 5,
        is_spread: bool = False,
    ) -> None:
        self.work_id = work_id
        self.n_read_tokens = n_read_tokens
        self.n_events = n_events
        self.n_context_tokens = n_context_tokens
        self.n_kv_tokens = n_kv_tokens
        self.priority = priority
        self.n_unread_tokens = n_read_tokens
        self.n_written = 0
        self.n_order = 0
        self.read_ms = read_ms
        self._is_spread = is_spread
        self._waits_for_parts = is_spread

    @property
    def is_part(self) -> bool:
        """:returns: whether another engine answers the prompt"""
        return not self.n_events

    @property
    def goes_first(self) -> bool:
        """:returns: whether it is read before whole prompts: others wait for it"""
        return self.is_part or self._is_spread

    @property
    def is_read(self) -> bool:
        """:returns: whether the prompt is read, as far as it has to be here"""
        return not self.n_unread_tokens and not self._waits_for_parts

    @property
    def is_writing(self) -> bool:
        """:returns: whether each pass gives one of its events"""
        return self.is_read and not self.is_part

    @property
    def is_finished(self) -> bool:
        """:returns: whether nothing is left to do"""
        return self.is_read and self.n_written >= self.n_events

    def note_parts_read(self) -> None:
        """Write from now on: all parts are read, and the first event is made."""
        self._waits_for_parts = False
        self.n_written += 1

    def read(self, max_tokens: int) -> tuple[int, float]:
        """Read on.

        :returns: tokens read, at most ``max_tokens``, and the time that it takes
        """
        n_tokens = min(max_tokens, self.n_unread_tokens)
        if not n_tokens:
            return 0, 0.0
        self.n_unread_tokens -= n_tokens
        return n_tokens, n_tokens * self.read_ms / self.n_read_tokens


__all__ = ("PassWork",)

"""Tests of assembling an answer from chunks."""

from __future__ import annotations

from quetzaldeck.gateway.answer import MAX_BUFFERED_CHUNKS, Answer, DropReason
from quetzaldeck.upstreams import Chunk


def test_accept_discards_foreign_and_duplicate_chunks() -> None:
    """Guards against duplicate text, or text of another request, in an answer.

    An engine whose attempt was abandoned may resume and send the old answer.
    """
    answer = Answer()
    answer.begin_attempt("r.1")
    assert answer.accept(Chunk("r.1", 0, "one ")) == "one "
    assert answer.accept(Chunk("r.1", 0, "one ")) is DropReason.DUPLICATE
    answer.begin_attempt("r.2")
    assert answer.accept(Chunk("r.1", 4, "late ")) is DropReason.FOREIGN
    assert answer.accept(Chunk("r.2", 2, "e two")) == "two"
    assert answer.text == "one two"


def test_accept_buffers_chunks_that_arrive_out_of_order() -> None:
    """Guards against text in the wrong order, and against an answer that ends early.

    The last chunk arrives before the others and must not end the answer.
    """
    answer = Answer()
    answer.begin_attempt("r.1")
    last = Chunk("r.1", 8, "three", finish_reason="stop")
    assert answer.accept(last) is DropReason.OUT_OF_ORDER
    assert answer.accept(last) is DropReason.DUPLICATE
    assert answer.accept(Chunk("r.1", 4, "two ")) is DropReason.OUT_OF_ORDER
    assert answer.finish_reason is None
    assert answer.accept(Chunk("r.1", 0, "one ")) == "one two three"
    assert answer.finish_reason == "stop"


def test_accept_reports_a_gap_when_a_chunk_is_lost() -> None:
    """Guards against unlimited buffering after one chunk was lost.

    The chunks after it would fill the memory while the caller receives nothing.
    """
    answer = Answer()
    answer.begin_attempt("r.1")
    chunks = [Chunk("r.1", offset, "x") for offset in range(1, MAX_BUFFERED_CHUNKS + 2)]
    drops = [answer.accept(chunk) for chunk in chunks]
    assert drops == [DropReason.OUT_OF_ORDER] * MAX_BUFFERED_CHUNKS + [DropReason.GAP]
    answer.begin_attempt("r.2")
    assert answer.accept(Chunk("r.2", 0, "whole")) == "whole"

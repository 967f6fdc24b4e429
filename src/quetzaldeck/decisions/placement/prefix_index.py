"""Index of the prompt prefixes that engines have probably cached.

Load pattern: many prompts with the same beginning, such as one customer's instructions
or a season history that is queried repeatedly. Without an index each engine prefills
the same prefix again.

The index learns from the first tokens of this VM's own answers, after which the engine
has cached the prompt, and from cache events. These are sent along with answers, so that
control traffic does not grow with VMs times engines. Events may be late, incomplete or
from an old incarnation. The index is only a hint: a wrong entry costs one prefill,
never a wrong answer. Entries of another incarnation are ignored; entries from before a
gap in the events count half.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.placement.cache_events import CacheEvents
from quetzaldeck.decisions.prefix import PREFIX_TOKENS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


MAX_PREFIXES = 20_000
"""Most entries; at about 500 bytes each, 10 MB of a VM's memory."""

MAX_HOLDERS = 4
"""Most engines recorded per prefix; more copies do not improve the choice."""

UNCERTAIN_WEIGHT = 0.5
"""Weight of an entry from before a gap: the lost event may be its eviction."""


class _Incarnation(NamedTuple):
    """The current incarnation of an engine.

    :param previous: the incarnation before this one; its events come late and are
        ignored
    :param sequence: number of the last event
    :param n_gaps: gaps seen in its events; entries from before a gap are uncertain
    """

    incarnation: str
    previous: str = ""
    sequence: int = 0
    n_gaps: int = 0


class _Entry(NamedTuple):
    """An engine that has cached a prefix, valid for one incarnation of it.

    :param n_gaps: gaps in the events of the incarnation when the entry was made
    """

    incarnation: str
    n_gaps: int


class PrefixIndex:
    """Maps prefixes to the engines that hold them; evicts the least recently used.

    :param max_prefixes: most prefixes that are kept
    """

    def __init__(self, *, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[int, dict[str, _Entry]] = OrderedDict()
        self._incarnations: dict[str, _Incarnation] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def add_cached(
        self, upstream: str, incarnation: str, prefixes: Iterable[int]
    ) -> None:
        """Record prefixes that an engine cached by answering a request of this VM."""
        current = self._track_incarnation(upstream, incarnation)
        if current is not None:
            self._add(upstream, _Entry(incarnation, current.n_gaps), prefixes)

    def observe(self, events: CacheEvents) -> None:
        """Process cache events; old and duplicate events are ignored."""
        current = self._track_incarnation(events.upstream, events.incarnation)
        if current is None:
            return
        for event in events.events:
            if event.sequence <= current.sequence:
                continue
            has_gap = current.sequence > 0 and event.sequence != current.sequence + 1
            current = current._replace(
                sequence=event.sequence, n_gaps=current.n_gaps + has_gap
            )
            self._incarnations[events.upstream] = current
            if event.is_cached:
                entry = _Entry(current.incarnation, current.n_gaps)
                self._add(events.upstream, entry, (event.prefix_hash,))
            else:
                self._discard(events.upstream, (event.prefix_hash,))

    def _track_incarnation(
        self, upstream: str, incarnation: str
    ) -> _Incarnation | None:
        """:returns: the state of an incarnation; ``None`` if it is the previous one

        An unknown incarnation replaces the current one.
        """
        current = self._incarnations.get(upstream)
        if current is not None and current.incarnation == incarnation:
            return current
        if current is not None and current.previous == incarnation:
            return None
        previous = "" if current is None else current.incarnation
        current = self._incarnations[upstream] = _Incarnation(incarnation, previous)
        return current

    def n_cached_tokens(
        self, upstream: str, incarnation: str, prefix_hashes: Sequence[int]
    ) -> float:
        """:returns: prompt tokens that the engine has probably cached"""
        n_tokens = 0.0
        for prefix_hash, length in zip(prefix_hashes, PREFIX_TOKENS, strict=False):
            entry = self._holders.get(prefix_hash, {}).get(upstream)
            if entry is None or entry.incarnation != incarnation:
                break
            current = self._incarnations[upstream]
            is_certain = entry.n_gaps == current.n_gaps
            n_tokens = length if is_certain else length * UNCERTAIN_WEIGHT
        return n_tokens

    def list_holders(self, prefix_hashes: Sequence[int]) -> tuple[str, ...]:
        """:returns: engines that hold the longest known prefix of a prompt"""
        for prefix_hash in reversed(prefix_hashes):
            holders = self._holders.get(prefix_hash)
            if holders:
                self._holders.move_to_end(prefix_hash)
                return tuple(holders)
        return ()

    def _add(self, upstream: str, entry: _Entry, prefixes: Iterable[int]) -> None:
        for prefix_hash in prefixes:
            holders = self._holders.setdefault(prefix_hash, {})
            holders.pop(upstream, None)
            holders[upstream] = entry
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._holders.move_to_end(prefix_hash)
        while len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)

    def _discard(self, upstream: str, prefixes: Iterable[int]) -> None:
        for prefix_hash in prefixes:
            holders = self._holders.get(prefix_hash)
            if holders is None or upstream not in holders:
                continue
            del holders[upstream]
            if not holders:
                del self._holders[prefix_hash]


__all__ = ("MAX_HOLDERS", "MAX_PREFIXES", "CacheEvents", "PrefixIndex")

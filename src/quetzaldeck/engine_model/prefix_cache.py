"""Prefix cache of the engine model, with a size limit and LRU eviction."""

from __future__ import annotations

from collections import OrderedDict

from quetzaldeck.decisions.prefix import PREFIX_TOKENS


class PrefixCache:
    """Keeps track of the prompt prefixes that an engine has cached.

    :param max_tokens: size of the cache, in tokens
    """

    def __init__(self, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._entries: OrderedDict[int, int] = OrderedDict()
        self._n_tokens = 0

    def n_cached(self, prefix_hashes: tuple[int, ...]) -> int:
        """:returns: length of the longest cached prefix, in tokens"""
        n_tokens = 0
        for prefix_hash, length in zip(prefix_hashes, PREFIX_TOKENS, strict=False):
            if prefix_hash not in self._entries:
                break
            self._entries.move_to_end(prefix_hash)
            n_tokens = length
        return n_tokens

    def add(self, prefix_hashes: tuple[int, ...]) -> tuple[list[int], list[int]]:
        """Cache the prefixes of a prefilled prompt.

        :returns: hashes added and hashes evicted
        """
        added = []
        previous = 0
        for prefix_hash, length in zip(prefix_hashes, PREFIX_TOKENS, strict=False):
            if prefix_hash not in self._entries:
                self._entries[prefix_hash] = length - previous
                self._n_tokens += length - previous
                added.append(prefix_hash)
            self._entries.move_to_end(prefix_hash)
            previous = length
        return added, self._evict()

    def _evict(self) -> list[int]:
        evicted = []
        while self._n_tokens > self._max_tokens:
            prefix_hash, n_tokens = self._entries.popitem(last=False)
            self._n_tokens -= n_tokens
            evicted.append(prefix_hash)
        return evicted


__all__ = ("PrefixCache",)

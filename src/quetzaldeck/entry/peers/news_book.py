"""The latest news of each VM, whichever way they came."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.load_changes import REFRESH_INTERVAL_MS
from quetzaldeck.entry.peers.messages import LoadNews, VmNews

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_TOLD_ON_MS = 1.5 * REFRESH_INTERVAL_MS
"""Age up to which loads are told to a VM that joins: whoever still has them there
repeats them each ``REFRESH_INTERVAL_MS``. What a dead VM had is not kept alive by
others."""

MAX_ENDED_TOLD_MS = 1_000.0
"""Age up to which the end of a load is told to a VM that joins: it may have been told
of the load by the relay that it had before."""

FORGET_MS = 20_000.0
"""Age at which the sequence of a load is forgotten; no datagram travels for so long."""

N_SEEN = 32
"""News with crashes or paces that are remembered of each VM, the latest."""


class _Held(NamedTuple):
    sequence: int
    load: LoadNews
    heard_ms: float


class NewsBook:
    """Loads by VM and upstream, the one with the highest sequence of each.

    News come by several ways, twice or in another order. Only what is newer than what
    is held counts, so that no load is counted twice, and none comes back after its end.
    Crashes and paces count once, so that VMs that pass them on to each other stop.
    """

    def __init__(self) -> None:
        self._held: dict[str, dict[str, _Held]] = {}
        self._seen: dict[str, deque[int]] = {}

    def take(self, news: VmNews, now_ms: float) -> VmNews:
        """:returns: the news without what is known already"""
        held = self._held.setdefault(news.vm, {})
        fresh = []
        for load in news.loads:
            before = held.get(load.upstream)
            if before is not None and before.sequence >= news.sequence:
                continue
            held[load.upstream] = _Held(news.sequence, load, now_ms)
            fresh.append(load)
        if news.crashes or news.paces:
            seen = self._seen.setdefault(news.vm, deque(maxlen=N_SEEN))
            key = hash((news.sequence, news.crashes, tuple(news.paces.items())))
            if key in seen:
                return VmNews(news.vm, news.sequence, tuple(fresh))
            seen.append(key)
        if len(fresh) == len(news.loads):
            return news
        return VmNews(news.vm, news.sequence, tuple(fresh), news.crashes, news.paces)

    def list_current(self, now_ms: float) -> Iterator[VmNews]:
        """:returns: what a VM that knows nothing is told"""
        for vm, loads in self._held.items():
            by_sequence: dict[int, list[LoadNews]] = {}
            for held in loads.values():
                if _is_told_on(held, now_ms):
                    by_sequence.setdefault(held.sequence, []).append(held.load)
            for sequence, current in by_sequence.items():
                yield VmNews(vm, sequence, tuple(current))

    def expire(self, now_ms: float) -> None:
        """Forget what was not repeated for long."""
        for vm, loads in tuple(self._held.items()):
            self._held[vm] = {
                upstream: held
                for upstream, held in loads.items()
                if now_ms - held.heard_ms <= FORGET_MS
            }
            if not self._held[vm]:
                del self._held[vm]
                self._seen.pop(vm, None)


def _is_told_on(held: _Held, now_ms: float) -> bool:
    says_anything = held.load.says_anything
    max_age_ms = MAX_TOLD_ON_MS if says_anything else MAX_ENDED_TOLD_MS
    return now_ms - held.heard_ms <= max_age_ms


class NewsQueue:
    """News that wait to be passed on, the latest of each VM and upstream.

    Loads keep the sequence under which they were told: under a higher one, an old load
    that was under way for long would replace a newer one that came another way.
    """

    def __init__(self) -> None:
        self._loads: dict[tuple[str, str], tuple[int, LoadNews]] = {}
        self._others: list[VmNews] = []

    def __bool__(self) -> bool:
        return bool(self._loads or self._others)

    def add(self, news: VmNews) -> None:
        """Add news; they replace older ones of the same VM and upstream."""
        for load in news.loads:
            key = (news.vm, load.upstream)
            held = self._loads.get(key)
            if held is None or held[0] < news.sequence:
                self._loads[key] = (news.sequence, load)
        if news.crashes or news.paces:
            crashes, paces = news.crashes, news.paces
            self._others.append(
                VmNews(news.vm, news.sequence, crashes=crashes, paces=paces)
            )

    def take(self) -> list[VmNews]:
        """:returns: what waits; nothing waits after it"""
        loads: dict[tuple[str, int], list[LoadNews]] = {}
        for (vm, _), (sequence, load) in self._loads.items():
            loads.setdefault((vm, sequence), []).append(load)
        news = [VmNews(vm, number, tuple(own)) for (vm, number), own in loads.items()]
        news += self._others
        self._loads = {}
        self._others = []
        return news


def split_news(news: Iterable[VmNews], n_loads: int) -> Iterator[tuple[VmNews, ...]]:
    """Split news into parts that each fit into a datagram.

    :param n_loads: loads, crashes and paces in each
    """
    part: list[VmNews] = []
    room = n_loads
    for one in news:
        for piece in _cut(one, n_loads):
            size = _size(piece)
            if size > room and part:
                yield tuple(part)
                part, room = [], n_loads
            part.append(piece)
            room -= size
    if part:
        yield tuple(part)


def _cut(news: VmNews, n_loads: int) -> Iterator[VmNews]:
    """Cut the news of one VM into pieces of at most ``n_loads`` entries of a kind."""
    paces = list(news.paces.items())
    length = max(len(news.loads), len(news.crashes), len(paces))
    if (
        length <= n_loads
        and len(news.loads) + len(news.crashes) + len(paces) <= n_loads
    ):
        yield news
        return
    for begin in range(0, length, n_loads):
        part = slice(begin, begin + n_loads)
        for piece in (
            VmNews(news.vm, news.sequence, loads=news.loads[part]),
            VmNews(news.vm, news.sequence, crashes=news.crashes[part]),
            VmNews(news.vm, news.sequence, paces=dict(paces[part])),
        ):
            if _size(piece):
                yield piece


def _size(news: VmNews) -> int:
    return len(news.loads) + len(news.crashes) + len(news.paces)


__all__ = ("FORGET_MS", "MAX_TOLD_ON_MS", "NewsBook", "NewsQueue", "split_news")

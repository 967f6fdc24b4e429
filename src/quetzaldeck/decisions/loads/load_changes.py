"""Selects which changes of this VM's load are sent to the other VMs now.

Load pattern: 84 VMs in front of 54 engines, each VM with little more than one request a
second. Each VM sends its changes to all others, so the number of messages grows with
the square of the fleet.

An increase is sent at once, because VMs that do not know of it place more work on the
upstream. The end of a prompt part is sent at once too: the next long prompt skips
engines that still seem to prefill a part, and is then spread over fewer engines. Other
decreases and the outcomes of requests may be delayed and sent with the next update; the
allowed delay grows with the number of VMs. An engine whose load is
overstated by one short prompt for a quarter of a second is chosen as often as before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.loads.peer_load import VmLoad

if TYPE_CHECKING:
    from collections.abc import Iterable

NO_LOAD = VmLoad()
"""Load that other VMs assume for an upstream until they receive an update on it."""

REFRESH_INTERVAL_MS = 2_000.0
"""Interval at which unchanged loads are sent again. ``PEER_LOAD_TTL_MS`` allows for one
lost message. Most answers to short prompts end within the interval."""

N_PEERS_WITHOUT_DELAY = 8
"""Number of peers up to which all changes are sent at once, as that costs little."""

SEND_DELAY_MS_PER_PEER = 4.0
"""Delay allowed for a decrease, per peer beyond ``N_PEERS_WITHOUT_DELAY``."""

MAX_SEND_DELAY_MS = 250.0
"""Upper limit of that delay. A short prompt is prefilled within it, and an answer takes
several times as long."""


class LoadChanges:
    """Compares the current loads with those last sent to the other VMs."""

    def __init__(self) -> None:
        self._sent: dict[str, tuple[float, VmLoad]] = {}
        self._delayed_since_ms: float | None = None

    @property
    def has_unsent(self) -> bool:
        """:returns: whether a change is being delayed"""
        return self._delayed_since_ms is not None

    def select_due(
        self,
        loads: Iterable[tuple[str, VmLoad]],
        now_ms: float,
        n_peers: int = 1,
    ) -> list[tuple[str, VmLoad]]:
        """Select the changes to send now; delayed changes go with the next urgent one.

        :param n_peers: number of VMs that receive the changes
        :returns: changed upstreams with their loads; empty if all changes may wait
        """
        changed, is_urgent = self._list_changed(loads, now_ms)
        if not changed:
            self._delayed_since_ms = None
            return []
        if self._delayed_since_ms is None:
            self._delayed_since_ms = now_ms
        waited_ms = now_ms - self._delayed_since_ms
        if not is_urgent and waited_ms < max_send_delay_ms(n_peers):
            return []
        self._delayed_since_ms = None
        for upstream, load in changed:
            self._sent[upstream] = (now_ms, load)
        return changed

    def _list_changed(
        self, loads: Iterable[tuple[str, VmLoad]], now_ms: float
    ) -> tuple[list[tuple[str, VmLoad]], bool]:
        changed = []
        is_urgent = False
        for upstream, load in loads:
            sent_ms, sent = self._sent.get(upstream, (now_ms, NO_LOAD))
            is_due = load.needs_refresh and now_ms - sent_ms >= REFRESH_INTERVAL_MS
            if load == sent and not is_due:
                continue
            changed.append((upstream, load))
            is_urgent = is_urgent or is_due or _is_urgent(load, sent)
        return changed, is_urgent


def _is_urgent(load: VmLoad, sent: VmLoad) -> bool:
    return load.exceeds(sent) or load.n_parts < sent.n_parts


def max_send_delay_ms(n_peers: int) -> float:
    """:returns: how long a decrease of load may stay unsent"""
    return min(
        MAX_SEND_DELAY_MS,
        max(0, n_peers - N_PEERS_WITHOUT_DELAY) * SEND_DELAY_MS_PER_PEER,
    )


__all__ = ("REFRESH_INTERVAL_MS", "LoadChanges", "max_send_delay_ms")

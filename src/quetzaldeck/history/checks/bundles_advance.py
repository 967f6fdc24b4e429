"""I7: an accepted bundle takes effect on all VMs in time; versions never decrease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.history.api import HistoryCheck, history_checks
from quetzaldeck.history.events import BundlePublished, BundleSeen

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.history.events import Event


@history_checks.register("I7_never_back")
class BundleRegression(HistoryCheck):
    """Finds ready VMs whose bundle version is lower than an earlier one."""

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield each report of a lower version."""
        highest: dict[str, int] = {}
        for index, event in enumerate(events):
            if not isinstance(event, BundleSeen) or event.version == 0:
                continue
            before = highest.get(event.vm, 0)
            if event.version < before:
                yield (
                    index,
                    f"{event.vm}: bundle version fell from {before} to {event.version}",
                )
            highest[event.vm] = max(before, event.version)


@history_checks.register("I7_in_force_soon")
class BundleRollout(HistoryCheck):
    """Finds ready VMs that still use an old bundle after the time limit."""

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield each report of a bundle that should have been replaced by then."""
        published: list[BundlePublished] = []
        for index, event in enumerate(events):
            if isinstance(event, BundlePublished):
                published.append(event)
            if not isinstance(event, BundleSeen) or event.version == 0:
                continue
            due = [
                p.version
                for p in published
                if event.at_ms - p.at_ms > self._bounds.bundle_ms
            ]
            if due and event.version < max(due):
                yield index, f"{event.vm} uses {event.version} instead of {max(due)}"


__all__ = ("BundleRegression", "BundleRollout")

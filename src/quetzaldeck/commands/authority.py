"""Decides whether this VM may command an engine, with which fencing token. No I/O.

There is no election. The commander of an engine is chosen by rendezvous hashing over
the live VMs, so VMs with different views of the members may both act as its commander
for a while. This does no harm, because:

* both derive the same orders from the same bundle, and an engine that has reached its
  goal gets none;
* a VM in contact with no more than half of the members sends no orders: its bundle
  may be outdated, and the engine would alternate between two versions;
* the fencing token is (bundle version, term); the term is the wall clock at the time
  when the VM took the engine over. A later commander has a higher token, so engines
  refuse late orders of a former one, and no state has to be persisted;
* a new commander of an engine that ignores tokens sends it nothing for
  ``takeover_ms``: an order of the former commander may still be in flight.

Reasons for the defaults: an order is dropped ``authority_ms`` (2 s) after the
decision, sending it takes at most 2 s more, and a dead commander is suspected within
about 2 s in a fleet of any size. The 15 s of ``takeover_ms`` are more than twice the
sum.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.membership import MemberState, choose_owner

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.commands.settings import CommandSettings
    from quetzaldeck.commands.state import EngineGoal
    from quetzaldeck.membership import MembershipView

FIRST_TERM_STEP_MS = 1_000
MAX_DOUBLINGS = 20
"""Bound on the exponent of the step, which doubles with each refused token."""


class Term(NamedTuple):
    """Period during which this VM is the commander of an engine.

    :param started_ms: monotonic time of its start
    :param number: second part of the fencing token
    :param n_refused: how often the engine refused this VM's tokens
    """

    started_ms: float
    number: int
    n_refused: int = 0


def has_majority(view: MembershipView) -> bool:
    """:returns: whether more than half of the members that are not dead are in contact

    VMs that are only known from the platform's list count as out of contact.
    """
    if view.list_read_ms is None:
        # Without the list it is unknown how many members are missing.
        return False
    known = [m for m in view.members if m.state is not MemberState.DEAD]
    n_in_contact = sum(member.state is not MemberState.SUSPECTED for member in known)
    return 2 * n_in_contact > len(known)


class CommandAuthority:
    """Tracks which engines this VM commands, and in which term."""

    def __init__(self, vm: str, clock: Clock, settings: CommandSettings) -> None:
        self._vm = vm
        self._clock = clock
        self._settings = settings
        self._terms: dict[str, Term] = {}
        self._no_orders_until_ms = clock.now_ms()
        self._commanders_chosen_from: frozenset[str] = frozenset()
        self._commanders: dict[str, str] = {}

    def update(self, engines: frozenset[str], view: MembershipView) -> None:
        """Start and end terms according to the current members."""
        live = frozenset(member.vm for member in view.list_live())
        may_command = has_majority(view) and self._vm in live
        for engine in engines:
            is_commander = (
                may_command and self._choose_commander(engine, live) == self._vm
            )
            if not is_commander:
                self._terms.pop(engine, None)
            elif engine not in self._terms:
                self._terms[engine] = Term(
                    self._clock.now_ms(), round(self._clock.wall_ms())
                )
        for engine in set(self._terms) - engines:
            del self._terms[engine]

    def _choose_commander(self, engine: str, live: frozenset[str]) -> str:
        # 410 VMs and 780 engines take 320,000 hashes: cached until the VMs change.
        if live != self._commanders_chosen_from:
            self._commanders_chosen_from = live
            self._commanders.clear()
        if engine not in self._commanders:
            self._commanders[engine] = choose_owner(engine, live)
        return self._commanders[engine]

    def find_token(
        self, goal: EngineGoal, bundle_version: int
    ) -> tuple[int, int] | None:
        """:returns: token for an order to the engine, ``None`` if none may be sent"""
        term = self._terms.get(goal.engine)
        if term is None or self._clock.now_ms() < self._no_orders_until_ms:
            return None
        term_age_ms = self._clock.now_ms() - term.started_ms
        if not goal.checks_fencing and term_age_ms < self._settings.takeover_ms:
            return None
        return bundle_version, term.number

    def start_new_term(self, engine: str) -> None:
        """Start a new term after the engine refused the token of the current one.

        The wall clock of the former commander was ahead: each new token exceeds the
        last one by a step that doubles, until the engine accepts it.
        """
        term = self._terms.get(engine)
        if term is None:
            return
        step_ms = FIRST_TERM_STEP_MS << min(term.n_refused, MAX_DOUBLINGS)
        number = max(round(self._clock.wall_ms()), term.number) + step_ms
        self._terms[engine] = Term(term.started_ms, number, term.n_refused + 1)

    def note_pause(self) -> None:
        """End all terms after a pause, and send no orders for ``takeover_ms``.

        Other VMs may have taken over, and the members and the bundle known here date
        from before the pause; the wait lets gossip bring them up to date.
        """
        self._terms.clear()
        self._no_orders_until_ms = self._clock.now_ms() + self._settings.takeover_ms


__all__ = ("CommandAuthority", "has_majority")

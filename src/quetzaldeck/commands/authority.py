"""Whether this VM may command an engine, and with which fencing token. No I/O.

There is no vote. The commander of an engine is chosen by rendezvous hashing over
the live VMs; VMs that believe in different ones may both take themselves for it for
a while. What keeps this harmless:

* both derive the same orders from the same bundle, and an engine that is as it
  should be gets none;
* a VM in contact with no more than half of the members commands nothing: its bundle
  may be old, and an engine would be torn between two versions;
* the token is (bundle version, term), the term being the wall clock at which the VM
  took the engine over. A later commander has a higher one, so orders of an earlier
  one that are late are refused, without anything ever being written;
* an engine that ignores tokens is left alone by a new commander for
  ``takeover_ms``: as long as an order of the previous one may still be under way.

Grounds for the figures: an order is dropped ``authority_ms`` (2 s) after it was
decided and its sending ends 2 s later; a dead commander is suspected within about
two seconds in a fleet of any size. Fifteen seconds are more than twice the sum.
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


class Term(NamedTuple):
    """One time of commanding an engine.

    :param started_ms: monotonic time at which it began
    :param number: second part of the fencing token
    :param n_refused: how often the engine refused this VM's tokens
    """

    started_ms: float
    number: int
    n_refused: int = 0


def has_majority(view: MembershipView) -> bool:
    """:returns: whether more than half of the members not dead are in contact

    VMs that the list names and that were never heard count as out of contact.
    """
    if view.list_read_ms is None:
        # Whoever has never read the list does not know who is missing.
        return False
    known = [m for m in view.members if m.state is not MemberState.DEAD]
    n_in_contact = sum(member.state is not MemberState.SUSPECTED for member in known)
    return 2 * n_in_contact > len(known)


class CommandAuthority:
    """Terms of this VM as the commander of engines."""

    def __init__(self, vm: str, clock: Clock, settings: CommandSettings) -> None:
        self._vm = vm
        self._clock = clock
        self._settings = settings
        self._terms: dict[str, Term] = {}
        self._no_orders_until_ms = clock.now_ms()
        self._commanders_chosen_from: frozenset[str] = frozenset()
        self._commanders: dict[str, str] = {}

    def update(self, engines: frozenset[str], view: MembershipView) -> None:
        """Take terms up and lay them down, as the members are now."""
        live = frozenset(member.vm for member in view.list_live())
        may_command = has_majority(view) and self._vm in live
        for engine in engines:
            is_commanders = (
                may_command and self._choose_commander(engine, live) == self._vm
            )
            if not is_commanders:
                self._terms.pop(engine, None)
            elif engine not in self._terms:
                self._terms[engine] = Term(
                    self._clock.now_ms(), round(self._clock.wall_ms())
                )
        for engine in set(self._terms) - engines:
            del self._terms[engine]

    def _choose_commander(self, engine: str, live: frozenset[str]) -> str:
        # 410 VMs and 780 engines are 320,000 hashes: once a change, not a round.
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
        """Begin a new term after the engine refused the token of the last one.

        The previous commander's clock was ahead: the next token is above the last
        one by a growing step, until the engine accepts it.
        """
        term = self._terms.get(engine)
        if term is None:
            return
        step_ms = FIRST_TERM_STEP_MS << min(term.n_refused, MAX_DOUBLINGS)
        number = max(round(self._clock.wall_ms()), term.number) + step_ms
        self._terms[engine] = Term(term.started_ms, number, term.n_refused + 1)

    def note_pause(self) -> None:
        """Lay all terms down after a pause, and command nothing for a while.

        Others may have taken over, and the members and the bundle known here are
        from before the pause: peers get the time to tell what has changed.
        """
        self._terms.clear()
        self._no_orders_until_ms = self._clock.now_ms() + self._settings.takeover_ms


__all__ = ("CommandAuthority", "has_majority")

"""Sync rounds, in which voters agree on changes of the voter set."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.claims.messages import SyncReply, SyncRequest
from quetzaldeck.claims.voter_id import VoterId
from quetzaldeck.claims.voter_set import VoterSet, first_voter_set
from quetzaldeck.claims.voter_state import VoterState

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from quetzaldeck.claims.fleet_view import FleetView


MAX_MAJORITY_WAIT_MS = 30_000.0
"""Time for which a pending set waits for a majority of voters that are not retired.

After that retired voters are counted as adopters. A time, since rounds are held more
often while they make progress, and voters that are only late should not count as lost.
"""


class VoterRounds(VoterState):
    """Changes the voter set together with its peers.

    A voter set is replaced only after a majority of its voters has adopted the next set
    and sent their claims, so that the majorities that vote on a key before and after
    the change have a voter in common.
    """

    def update_view(self, view: FleetView) -> None:
        """Update the view of the fleet; propose to remove voters that are gone."""
        self._view = view
        newest = self._chain.newest
        if newest is None:
            return
        others = newest.members - {self._voter_id}
        removed = others.intersection(self._retired)
        gone = {voter_id for voter_id in others if voter_id.vm in view.gone}
        if self._may_propose_removal(gone):
            removed |= gone
        if self._is_leaving:
            removed |= {self._voter_id}
        self._chain.adopt(VoterSet().change(remove=removed))

    def leave(self) -> None:
        """Propose to remove this voter; :attr:`has_left` tells when it may stop."""
        self._is_leaving = True
        self.update_view(self._view)

    def build_sync(self) -> SyncRequest:
        """:returns: this voter's request for the next round"""
        wants_to_vote = (
            self._voter_id.incarnation != "" and not self.can_vote and self._is_wanted
        )
        return SyncRequest(
            self._voter_id,
            self._chain.committed,
            self._chain.pending,
            wants_to_vote=wants_to_vote and not self._is_leaving,
            wants_claims=self._needs_claims,
            group=self._group,
        )

    def answer_sync(self, request: SyncRequest) -> SyncReply:
        """Adopt the sets of a peer's request, then reply with this voter's state."""
        for proposal in _list_sets(request):
            self._chain.adopt(proposal)
            if self._voter_id in proposal.members:
                self._awaited_voter_id = self._voter_id
        if request.wants_to_vote:
            self._propose_voter(request.voter_id)
        return self._build_reply(has_claims=request.wants_claims)

    def process_replies(
        self, request: SyncRequest, replies: Sequence[SyncReply]
    ) -> None:
        """Process the replies of one round; commit another voter set if possible.

        :param request: the request that the peers replied to
        """
        self._note_retired(request, replies)
        self._needs_claims = False
        if self._chain.committed is None:
            self._initialize(replies)
            return
        newest = self._find_newer(replies)
        if newest is not None:
            self._install(newest)
        else:
            self._commit([self._build_reply(has_claims=True), *replies])
        committed = self._chain.committed
        self._successors = frozenset(
            r.voter_id for r in replies if r.committed == committed
        )
        for proposal in [item for reply in replies for item in reply.pending]:
            self._chain.adopt(proposal)
        self._rejoin_if_removed()

    def _may_propose_removal(self, gone: Collection[VoterId]) -> bool:
        """:returns: whether the voters that are not gone are a majority

        A minority cannot commit the removal, but its proposal would outlive the
        partition: the other voters would adopt it later and remove each other.
        """
        committed = self._chain.committed
        return committed is not None and committed.has_quorum(
            committed.members.difference(gone)
        )

    def _propose_voter(self, voter_id: VoterId) -> None:
        """Propose to add a voter and to remove earlier ids of its VM."""
        newest = self._chain.newest
        if newest is None or voter_id in newest.added:
            return
        earlier = {old for old in newest.members if old.vm == voter_id.vm}
        self._chain.adopt(VoterSet().change(add=(voter_id,), remove=earlier))

    def _note_retired(self, request: SyncRequest, replies: Sequence[SyncReply]) -> None:
        """Note ids whose VM has replied under another id: they never vote again.

        Only ids known when the request was sent are considered. A late reply says
        nothing about an id that its VM took later; to retire that id would lose the
        grants made under it.
        """
        current = {
            reply.voter_id.vm: reply.voter_id
            for reply in replies
            if reply.voter_id.incarnation
        }
        asked = {voter_id for item in _list_sets(request) for voter_id in item.members}
        self._retired.update(
            {
                voter_id: None
                for voter_id in asked
                if current.get(voter_id.vm, voter_id) != voter_id
            }
        )
        member_ids = {
            voter_id for item in self._chain.required_sets for voter_id in item.members
        }
        for voter_id in self._retired.keys() - member_ids:
            del self._retired[voter_id]

    def _build_reply(self, *, has_claims: bool) -> SyncReply:
        return SyncReply(
            self._voter_id,
            self._chain.committed,
            self._chain.pending,
            self._view.listed,
            self._view.voters,
            has_claims,
            self.table.snapshot() if has_claims else (),
            self._abstention.current,
        )

    def _initialize(self, replies: Sequence[SyncReply]) -> None:
        """Get the first voter set: join an existing one, or form one.

        A fleet in which no voter has any state forms its first set from the platform's
        list, once every VM on the list reports the same list. A majority is not enough:
        the other VMs might have continued with a smaller set. All voters then abstain
        from keys that may have been granted before.
        """
        initialized = [reply for reply in replies if reply.committed is not None]
        if initialized:
            self._join(initialized)
        if self._chain.committed is None and not (
            initialized and self._voter_id.incarnation
        ):
            self._form_first_set(replies)

    def _join(self, initialized: Sequence[SyncReply]) -> None:
        """Install a peer's committed set if this voter is in it, else ask to be added.

        As long as no majority has committed the first set, this voter may still join
        it as one of its initial members.
        """
        first = first_voter_set(self._view.voters)
        for reply in initialized:
            is_member = (
                reply.committed is not None
                and self._voter_id in reply.committed.members
            )
            if is_member and self._voter_id.incarnation:
                self._install(reply)
                return
        is_first = all(
            reply.committed == first and not reply.pending for reply in initialized
        )
        if not is_first or first.has_quorum({reply.voter_id for reply in initialized}):
            self._take_new_voter_id()

    def _form_first_set(self, replies: Sequence[SyncReply]) -> None:
        first = first_voter_set(self._view.voters)
        own_view = (self._view.listed, self._view.voters)
        agreeing = {
            reply.voter_id.vm
            for reply in replies
            if (reply.listed, reply.voters) == own_view
            and reply.committed in (None, first)
        }
        own = VoterId(self._vm)
        is_agreed = self._view.listed <= agreeing | {self._vm}
        if own in first.members and is_agreed:
            self._voter_id = own
            self._chain.set_committed(first)
            self._abstention.begin()

    def _find_newer(self, replies: Sequence[SyncReply]) -> SyncReply | None:
        """:returns: the reply with the newest committed set that covers the own one"""
        committed = self._chain.committed
        newest: SyncReply | None = None
        for reply in replies:
            if (
                reply.committed is None
                or committed is None
                or reply.committed == committed
            ):
                continue
            if reply.committed.covers(committed):
                newest, committed = reply, reply.committed
        return newest

    def _install(self, reply: SyncReply) -> None:
        """Install a peer's committed and pending sets and merge its claims."""
        if reply.committed is None:
            return
        if not reply.has_claims:
            self._needs_claims = True
            return
        self._merge_claims([reply])
        self._chain.set_committed(reply.committed, reply.pending)

    def _commit(self, replies: Sequence[SyncReply]) -> None:
        """Commit a pending set if enough voters have adopted it.

        Snapshots of claims are requested only after a round without them has shown that
        the commit is possible, so a minority, which cannot commit, transfers no claims.
        """
        if not self._chain.pending:
            self._pending_since_ms = None
        elif self._pending_since_ms is None:
            self._pending_since_ms = self._clock.now_ms()
        commit = self._chain.find_commit(replies, self._list_countable_ids())
        if commit is None:
            return
        if not all(reply.has_claims for reply in commit.adopters):
            self._needs_claims = True
            return
        self._pending_since_ms = None
        self._merge_claims(commit.adopters)
        if commit.loses_grants:
            self._abstention.begin()
        self._chain.set_committed(commit.target)

    def _list_countable_ids(self) -> frozenset[VoterId]:
        """:returns: retired ids that may be counted as adopters

        Counting them loses grants, after which voters must abstain. So it is delayed as
        long as the other voters may still form a majority.
        """
        retired = frozenset(self._retired)
        is_majority_retired = any(
            len(item.members - retired) < item.quorum
            for item in self._chain.required_sets
        )
        waited_ms = 0.0
        if self._pending_since_ms is not None:
            waited_ms = self._clock.now_ms() - self._pending_since_ms
        if is_majority_retired or waited_ms > MAX_MAJORITY_WAIT_MS:
            return retired
        return frozenset()

    def _merge_claims(self, replies: Sequence[SyncReply]) -> None:
        for reply in replies:
            self.table.merge(reply.claims)
            if reply.lost_grants is not None:
                self._abstention.extend(*reply.lost_grants)

    def _rejoin_if_removed(self) -> None:
        """Ask to be added under a new id if the peers removed this voter."""
        committed = self._chain.committed
        is_removed = committed is not None and self._voter_id in committed.removed
        if is_removed and not self._is_leaving and self._is_wanted:
            self._take_new_voter_id()

    def _take_new_voter_id(self) -> None:
        committed = self._chain.committed
        if self._voter_id.incarnation and (
            committed is None or self._voter_id not in committed.removed
        ):
            return
        self._n_voter_ids += 1
        self._voter_id = VoterId(self._vm, f"{self._incarnation}.{self._n_voter_ids}")


def _list_sets(request: SyncRequest) -> tuple[VoterSet, ...]:
    return () if request.committed is None else (request.committed, *request.pending)


__all__ = ("MAX_MAJORITY_WAIT_MS", "VoterRounds")

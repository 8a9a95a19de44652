"""Lease, view and authority of this controller.

Authority is the right to answer workers. It lasts for one lease counted from
the moment the last successful renewal *and* the last read of the view were
sent, less drift and margin, so it ends before the state service can remove the
member key, and within one lease of any newer view.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.store.keys import FORMAT, MEMBERS, VIEW
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import View
from appledock.core.store_calls import (
    Acknowledged,
    Committed,
    Conflict,
    GetKey,
    Grant,
    GrantLease,
    Missing,
    Put,
    RenewLease,
    RevokeLease,
    Row,
    StoreOutcome,
    Transaction,
)

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)

NEWEST_FORMAT = 2
"""Of records that this version reads and writes. 1: as the versions before dependencies
wrote them, which refuse a description with a field unknown to them. 2: descriptions may
name needed jobs, and open attempts stand in groups (`core/jobs/attempt_groups`)."""


class Membership:
    """Joins, renews, confirms and changes the view."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.node = engine.settings.name
        self.lease_local_s = engine.runtime.lease_ttl_s * (1 - c.CLOCK_DRIFT) - c.AUTHORITY_MARGIN_S
        """s; how long authority lasts, by our own clock"""
        self.generation = 0
        self.incarnation = ""
        self.lease: int | None = None
        self.joined = False
        self.joining = False
        self.next_join = 0.0
        self.lease_renewed_at = c.LONG_AGO
        self.view_confirmed_at = c.LONG_AGO
        self.store_answered_at = c.LONG_AGO
        """when the state service last answered a renewal or a question"""
        self.next_touch = 0.0
        self.touching = False
        self.confirming = False
        self.next_view = 0.0
        self.changing = False
        self.leader_seen = 0.0
        self.raising = False
        """a newer format of records is being recorded"""
        self.next_raise = 0.0
        self.term_at = c.LONG_AGO
        self.can_act_since = c.LONG_AGO
        """last moment without authority"""

    # --- state ------------------------------------------------------------
    @property
    def newest_format(self) -> int:
        """The newest format that this node reads: shares of machines only where they are on."""
        return c.CAPACITY_FORMAT if self.engine.partitions.enabled else NEWEST_FORMAT

    @property
    def view(self) -> View | None:
        """The newest view known."""
        return self.engine.replica.view

    @property
    def term(self) -> int:
        """Number of the newest view known, 0 before the first."""
        return self.view.term if self.view else 0

    def is_member(self) -> bool:
        """Does the view name this incarnation of ours?"""
        return (
            self.joined
            and self.view is not None
            and self.view.members.get(self.node) == self.incarnation
        )

    def has_authority(self) -> bool:
        """May this controller act for the controllers right now?"""
        return (
            self.is_member()
            and self.engine.now
            < min(self.lease_renewed_at, self.view_confirmed_at) + self.lease_local_s
        )

    def can_act(self) -> bool:
        """Authority, and a picture that is complete up to the view."""
        acts = self.has_authority() and self.engine.replica.has_reached_view()
        if not acts:
            self.can_act_since = self.engine.now
        return acts

    def is_detached(self) -> bool:
        """Does the view say that workers do not reach us?"""
        return self.view is not None and self.node in self.view.detached

    def is_leader(self) -> bool:
        """Do we lead, and may we act?"""
        return self.can_act() and self.view is not None and self.view.leader == self.node

    def fencing_conditions(self) -> dict[str, int]:
        """Conditions of every scheduling write.

        A fenced or outvoted controller's writes fail by themselves.
        """
        assert self.view is not None
        return {
            VIEW: self.view.version,
            MEMBERS + self.node: self.engine.replica.members[self.node].version,
        }

    # --- timers -----------------------------------------------------------
    def tick(self) -> None:
        """Join, renew, and change the view if it is time to."""
        now = self.engine.now
        if not self.engine.reader.loaded:
            return
        if not self.joined:
            if not self.joining and now >= self.next_join:
                self._join()
            return
        if now >= self.next_touch and not self.touching:
            self._touch()
        self._check_view()
        self._check_format()

    def _check_format(self) -> None:
        """Record that a newer format is in use, once nobody can come back without it.

        From then on it is for ever: every node of the cluster, not just every member of the
        view, must have been seen with it at the same moment. A node that is down may come back
        old.
        """
        replica = self.engine.replica
        if (
            replica.record_format.value >= self.newest_format
            or self.raising
            or self.engine.now < self.next_raise
            or not self.is_leader()
            or len(replica.members) < self.engine.settings.cluster.size
            or any(member.format < self.newest_format for member in replica.members.values())
        ):
            return
        self.raising = True
        # Conditional on every member's key: together they prove that moment.
        plan = Transaction(
            {
                **self.fencing_conditions(),
                FORMAT: replica.record_format.version,
                **{MEMBERS + node: member.version for node, member in replica.members.items()},
            },
            [Put(FORMAT, {"format": self.newest_format})],
        )

        def on_outcome(outcome: StoreOutcome) -> None:
            self.raising = False
            self.next_raise = self.engine.now + c.TOUCH_RETRY_S
            match outcome:
                case Committed():
                    replica.put(FORMAT, {"format": self.newest_format}, outcome.revision)
                    log.info(
                        "all %d nodes read records of format %d: it is in use from now on",
                        len(replica.members),
                        self.newest_format,
                    )
                case Conflict():
                    self.engine.reader.read_keys(outcome.failed)
                case _:
                    pass

        self.engine.client.submit(plan, Priority.VIEW, on_outcome)

    def _retry_join(self) -> None:
        self.joining = False
        self.next_join = self.engine.now + c.TOUCH_RETRY_S * (0.5 + self.engine.rng.random())

    def _join(self) -> None:
        self.joining = True
        self.generation += 1
        self.incarnation = f"{self.engine.incarnation}.{self.generation}"
        sent = self.engine.now

        def granted(outcome: StoreOutcome) -> None:
            if not isinstance(outcome, Grant):
                self._retry_join()
                return
            self.lease = outcome.lease
            self.lease_renewed_at = sent
            self._read_self()

        self.engine.client.submit(
            GrantLease(int(self.engine.runtime.lease_ttl_s * 1000)), Priority.LEASE, granted
        )

    def _read_self(self) -> None:
        """Reads predecessor and view afresh, then joins in one transaction.

        Several controllers starting at once conflict here; each conflict is one
        controller's success, so reading again ends after a few rounds.
        """

        def read(outcome: StoreOutcome) -> None:
            if not isinstance(outcome, Row | Missing):
                self._retry_join()
                return
            if isinstance(outcome, Row):
                self.engine.replica.put(VIEW, outcome.value, outcome.version)
            self.engine.client.submit(GetKey(MEMBERS + self.node), Priority.LEASE, read_member)

        def read_member(outcome: StoreOutcome) -> None:
            if not isinstance(outcome, Row | Missing):
                self._retry_join()
                return
            old = outcome if isinstance(outcome, Row) else None
            if old is None:
                self.engine.replica.members.pop(self.node, None)
            self._commit_join(old.version if old else 0, old.value.get("lease") if old else None)

        self.engine.client.submit(GetKey(VIEW), Priority.LEASE, read)

    def _commit_join(self, old_version: int, old_lease: int | None) -> None:
        """Take the member key and a new view together.

        A predecessor on this node is dead (a node runs one process), so its lease is not waited
        for.
        """
        view = self.view
        # Every member joins by writing the view, so the view just read names all;
        # taking them from the watch instead would shut out those it lags behind.
        members = dict(view.members) if view else {}
        members[self.node] = self.incarnation
        new = self._next_view(members)
        lease = self.lease
        value = {"incarnation": self.incarnation, "lease": lease, "format": self.newest_format}
        plan = Transaction(
            {MEMBERS + self.node: old_version, VIEW: view.version if view else 0},
            [Put(MEMBERS + self.node, value, lease), Put(VIEW, new.encode())],
        )
        sent = self.engine.now

        def on_outcome(outcome: StoreOutcome) -> None:
            if isinstance(outcome, Committed):
                self.store_answered_at = self.engine.now
                revision = outcome.revision
                self.joining, self.joined = False, True
                self.engine.replica.put(MEMBERS + self.node, value, revision)
                self.view_confirmed_at = sent
                self.next_touch = self.engine.now + c.TOUCH_EVERY_S / 2
                self.engine.replica.put(VIEW, new.encode(), revision)
                log.info(
                    "joined as %s, term %d, leader %s, members %s",
                    self.incarnation,
                    new.term,
                    new.leader,
                    sorted(new.members),
                )
                if old_lease is not None and old_lease != lease:
                    self.engine.client.submit(RevokeLease(old_lease), Priority.VIEW, lambda _: None)
            elif isinstance(outcome, Conflict):
                # Guards against joining that never goes on: the state service may answer
                # the conflict and refuse what is read next.
                self.engine.reader.read_keys(outcome.failed, self._read_self, self._retry_join)
            else:
                self._retry_join()

        self.engine.client.submit(plan, Priority.LEASE, on_outcome)

    def _touch(self) -> None:
        self.touching = True
        sent = self.engine.now
        lease = self.lease

        def touched(outcome: StoreOutcome) -> None:
            self.touching = False
            if lease != self.lease:
                return
            match outcome:
                case Acknowledged():
                    self.lease_renewed_at = sent
                    self.store_answered_at = self.engine.now
                    self.next_touch = max(self.engine.now, sent + c.TOUCH_EVERY_S)
                case Missing():
                    self._lost("lease ended")
                case _:
                    self.next_touch = self.engine.now + c.TOUCH_RETRY_S * (
                        0.75 + self.engine.rng.random() / 2
                    )

        assert lease is not None  # joined, so there is one
        self.engine.client.submit(RenewLease(lease), Priority.LEASE, touched)
        self.confirm()

    def confirm(self) -> None:
        """Reads the view: proof that no newer one existed when this was sent."""
        if self.confirming or not self.joined:
            return
        self.confirming = True
        sent = self.engine.now
        incarnation = self.incarnation

        def read(outcome: StoreOutcome) -> None:
            self.confirming = False
            if not isinstance(outcome, Row) or incarnation != self.incarnation:
                return
            self.engine.replica.put(VIEW, outcome.value, outcome.version)
            if self.view is not None and outcome.version == self.view.version:
                if self.is_member():
                    self.view_confirmed_at = max(self.view_confirmed_at, sent)
                else:
                    self._lost("excluded from the view")

        self.engine.client.submit(GetKey(VIEW), Priority.LEASE, read)

    def _lost(self, why: str) -> None:
        log.warning("%s: %s; joining again", self.incarnation, why)
        self.joined = False
        self.lease = None
        self.lease_renewed_at = self.view_confirmed_at = c.LONG_AGO
        self.next_join = self.engine.now

    # --- views ------------------------------------------------------------
    def _next_view(self, members: dict[str, str]) -> View:
        old = self.view
        detached = self._next_detached(members)
        leader = self._next_leader(members)
        if leader in detached and self.node not in detached:
            leader = self.node
        overrides = self._next_overrides(members, detached)
        view = View((old.term if old else 0) + 1, members, leader, overrides, detached)
        dropped = len(overrides)
        while (
            view.overrides and len(wire.encode(view.encode())) > self.engine.client.max_value_bytes
        ):
            # A worker without its override goes round once more; a view that the state
            # service refuses as too large would leave the cluster without one.
            kept = len(view.overrides) * 9 // 10
            view.overrides = dict(sorted(view.overrides.items())[:kept])
            log.warning("%d workers keep to the hash: the view holds no more", dropped - kept)
        return view

    def _next_detached(self, members: dict[str, str]) -> dict[str, str]:
        """Members that shall own nothing."""
        before = self.view.detached if self.view else {}
        detached = {
            node: incarnation
            for node, incarnation in before.items()
            if members.get(node) == incarnation
        }
        detached.update(
            (node, members[node])
            for node in sorted(self.engine.view_requests.members_to_detach)
            if node in members
        )
        if self.engine.view_requests.attach_self:
            detached.pop(self.node, None)
        if len(detached) == len(members):
            # Nobody would own anything: then it is the workers that are cut off.
            detached.clear()
        return detached

    def _next_leader(self, members: dict[str, str]) -> str:
        """The present leader, if it is still the same incarnation, or else this node."""
        old = self.view
        stays = (
            old is not None
            and old.leader in members
            and members[old.leader] == old.members.get(old.leader)
            and not self.engine.view_requests.take_leadership
        )
        return old.leader if old is not None and stays else self.node

    def _next_overrides(
        self, members: dict[str, str], detached: dict[str, str]
    ) -> dict[str, list[str]]:
        """Workers that belong to another node than the hash says, and to whom."""
        overrides = {
            worker: to
            for worker, to in (self.view.overrides if self.view else {}).items()
            if members.get(to[0]) == to[1]
            and to[0] not in detached
            and worker not in self.engine.workers.deleted_machines
        }
        for worker, node in self.engine.view_requests.overrides.items():
            if node in members:
                overrides[worker] = [node, members[node]]
        return overrides

    def _check_view(self) -> None:
        """Takes a new view when members and view differ, or a new term is needed."""
        view, now = self.view, self.engine.now
        if (
            view is None
            or self.changing
            or not self.is_member()
            or not self.engine.replica.has_reached_view()
        ):
            return
        if self.node not in self.engine.replica.members:
            return
        members = {node: m.incarnation for node, m in self.engine.replica.members.items()}
        differs = members != view.members
        if view.leader == self.node or not self.engine.heartbeats.has_leader_failed():
            self.leader_seen = now
        self.engine.view_requests.take_leadership = now - self.leader_seen > c.LEADER_LOST_S
        requests = self.engine.view_requests
        wanted = (
            requests.new_term
            or requests.overrides
            or requests.take_leadership
            or requests.attach_self
        )
        if (
            not differs
            and not self.engine.view_requests.members_to_detach
            and not (wanted and now >= self.term_at + c.TERM_BUMP_EVERY_S)
        ):
            self.next_view = 0.0
            return
        if not self.next_view:
            wait = (
                0.0
                if view.leader == self.node
                else c.VIEW_JITTER_S * (0.3 + self.engine.rng.random())
            )
            self.next_view = now + wait
        if now < self.next_view:
            return
        self._change(members)

    def _change(self, members: dict[str, str]) -> None:
        self.changing = True
        new = self._next_view(members)
        sent = self.engine.now
        plan = Transaction(self.fencing_conditions(), [Put(VIEW, new.encode())])

        def on_outcome(outcome: StoreOutcome) -> None:
            self.changing = False
            self.next_view = 0.0
            match outcome:
                case Committed():
                    self.view_confirmed_at = max(self.view_confirmed_at, sent)
                    self.engine.replica.put(VIEW, new.encode(), outcome.revision)
                    log.info(
                        "view %d: members %s, leader %s", new.term, sorted(new.members), new.leader
                    )
                case Conflict():
                    self.engine.reader.read_keys(outcome.failed)
                case _:
                    self.next_view = self.engine.now + c.TOUCH_RETRY_S

        self.engine.client.submit(plan, Priority.VIEW, on_outcome)

    def on_view(self) -> None:
        """A newer view is known."""
        self.term_at = self.engine.now
        self.engine.view_requests.clear()
        self.leader_seen = self.engine.now
        if self.joined and not self.is_member():
            # Our member key may still exist; only a fresh read decides.
            self.confirm()

"""Heartbeats between the controllers: who reaches the state service, and whom we reach.

An outage of the state service cannot be told apart from a refusal that only we
meet, unless the others say how they fare. Nothing here grants or ends a right:
heartbeats decide who should be asked, never who may act.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.events import PeerSend
from appledock.core.messages import Heartbeat

if TYPE_CHECKING:
    from appledock.core.controller import Controller


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """The last heartbeat of a peer."""

    at: float
    served_at: float
    """when the peer last reached the state service, by our clock"""
    heartbeat: Heartbeat


class Heartbeats:
    """What the controllers tell each other about themselves."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.last_heartbeats: dict[str, ReceivedHeartbeat] = {}
        self.next_at = 0.0
        self.served_or_outage_at = 0.0
        """when we were last served, or knew that nobody is"""

    def tick(self) -> None:
        """Tell the peers how we fare, if it is time to."""
        if not self._shut_out_now():
            self.served_or_outage_at = self.engine.now
        if self.engine.now >= self.next_at:
            self.next_at = self.engine.now + c.HEARTBEAT_EVERY_S
            self._send()
            if self.last_heartbeats:
                self.engine.client.limiter.on_peer_write_rate(
                    sum(heard.heartbeat.writes for heard in self._reached()),
                    self.engine.settings.cluster.state.write_rps * c.BUDGET_SHARE,
                )

    def _send(self) -> None:
        engine = self.engine
        since = engine.now - engine.membership.store_answered_at
        heartbeat = Heartbeat(
            node=engine.settings.name,
            served_s=round(min(since, c.AGE_MAX_S), 3),
            writes=round(engine.client.limiter.recent_write_rate, 2),
            reporting=round(engine.workers.reporting_fraction(), 3),
            unanswered=engine.workers.owner_timeout_counts(),
            pressed=engine.pacing.is_service_rate_limited(),
        )
        engine.emit(PeerSend(heartbeat))

    def on_peer(self, message: Heartbeat) -> None:
        """Note how a peer fares."""
        now = self.engine.now
        self.last_heartbeats[message.node] = ReceivedHeartbeat(now, now - message.served_s, message)

    def is_reachable(self, node: str) -> bool:
        """Do messages of this controller arrive here?"""
        if node == self.engine.settings.name:
            return True
        heard = self.last_heartbeats.get(node)
        return heard is not None and self.engine.now - heard.at < c.HEARTBEAT_LOST_S

    def _reached(self) -> Iterator[ReceivedHeartbeat]:
        """The last heartbeats of the peers whose messages arrive here."""
        return (heard for peer, heard in self.last_heartbeats.items() if self.is_reachable(peer))

    def is_served(self, node: str) -> bool:
        """Does it, as far as it says, reach the state service?"""
        if node == self.engine.settings.name:
            return self.engine.membership.can_act()
        return self.is_reachable(node) and (
            self.engine.now - self.last_heartbeats[node].served_at < c.HEARTBEAT_SERVED_S
        )

    def receives_worker_reports(self, node: str) -> bool:
        """Does it, as far as it says, hear most of its workers?"""
        heard = self.last_heartbeats.get(node)
        share = heard.heartbeat.reporting if heard is not None else 1.0
        return self.is_reachable(node) and share >= c.REPORTING_SHARE

    def unanswered_workers_at_peers(self, owner: str) -> int:
        """Workers that waited for the owner in vain and then came to a peer of ours."""
        return sum(heard.heartbeat.unanswered.get(owner, 0) for heard in self._reached())

    def is_any_peer_under_pressure(self) -> bool:
        """Do services of another controller wait for the writes that we all share?"""
        return any(heard.heartbeat.pressed for heard in self._reached())

    def peer_contacted_by_workers_of(self, owner: str) -> str | None:
        """The peer to which most of those workers came."""
        counts = {
            heard.heartbeat.node: heard.heartbeat.unanswered.get(owner, 0)
            for heard in self._reached()
        }
        peer = max(sorted(counts), key=counts.__getitem__, default=None)
        return peer if peer is not None and counts[peer] else None

    def _shut_out_now(self) -> bool:
        served = self.engine.membership.store_answered_at
        peers = [peer.name for peer in self.engine.settings.peers]
        if not peers or self.engine.now - served < c.SHUT_OUT_S:
            return False
        reached = [peer for peer in peers if self.is_reachable(peer)]
        # In an outage, the others were last served at about the same time.
        return not reached or any(
            self.last_heartbeats[peer].served_at - served > c.SERVED_LATER_S for peer in reached
        )

    def is_isolated(self) -> bool:
        """Are we the only ones that the state service does not serve?

        True as well if we reach nobody: then the others probably go on without us.
        """
        return self.engine.now - self.served_or_outage_at > c.SHUT_OUT_FOR_S

    def has_leader_failed(self) -> bool:
        """Does the leader, and not the network between us all, fail?

        It says that it is not served, or it alone is not heard.
        """
        view = self.engine.replica.view
        if view is None or self.is_served(view.leader):
            return False
        others = [
            peer.name
            for peer in self.engine.settings.peers
            if peer.name != view.leader and peer.name in view.members
        ]
        return self.is_reachable(view.leader) or any(self.is_served(peer) for peer in others)

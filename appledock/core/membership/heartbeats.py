"""Heartbeats between the controllers: which of them are served by the store, and reachable.

An outage of the key-value store cannot be told from a refusal that only this controller meets,
unless the others say how they fare. This is a failure detector and no more: it decides who is
asked, and who asks for a change of the view; rights come from view and lease alone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from appledock import constants
from appledock.core.effects import PeerSend
from appledock.core.membership.membership import Membership
from appledock.core.messages import ControllerHeartbeat
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.replica import Replica


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """What other parts of this controller contribute to its heartbeats."""

    reporting_fraction: float
    """part of its workers that lately reported to it"""
    owner_timeouts: dict[str, int]
    """owner -> workers that came here after waiting for that owner's answer in vain"""
    is_service_rate_limited: bool
    """do services wait here for writes to the store?"""


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """The last heartbeat of a peer; moments by the local clock."""

    received_at: float
    served_at: float
    """when the store last served the peer"""
    heartbeat: ControllerHeartbeat


class Heartbeats:
    """Sends this controller's heartbeats, and judges the peers by theirs."""

    def __init__(
        self,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        membership: Membership,
        local_status: Callable[[], LocalStatus],
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._membership = membership
        self._local_status = local_status
        self._peers = [peer.name for peer in runtime.settings.peers]
        self.last_heartbeats: dict[str, ReceivedHeartbeat] = {}
        """peer -> its last heartbeat"""
        self._next_heartbeat_at = 0.0
        self._not_isolated_at = 0.0
        """when the store last served this controller, or was known to serve nobody"""

    # --- sending and receiving --------------------------------------------
    def tick(self) -> None:
        """Send a heartbeat if one is due, and tell the rate limiter what the peers write."""
        now = self._runtime.now
        if not self._is_served_less_than_peers():
            self._not_isolated_at = now
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = now + constants.CONTROLLER_HEARTBEAT_INTERVAL_S
        self._send()
        if self.last_heartbeats:
            self._client.limiter.on_peer_write_rate(
                sum(received.heartbeat.write_rate for received in self._from_reachable_peers()),
                self._runtime.settings.cluster.state.write_rps * constants.STORE_RATE_BUDGET_SHARE,
            )

    def _send(self) -> None:
        store_answer_age_s = self._runtime.now - self._membership.store_answered_at
        status = self._local_status()
        heartbeat = ControllerHeartbeat(
            node=self._runtime.node,
            store_answer_age_s=round(min(store_answer_age_s, constants.PEER_AGE_MAX_S), 3),
            write_rate=round(self._client.limiter.recent_write_rate, 2),
            reporting_fraction=round(status.reporting_fraction, 3),
            owner_timeouts=status.owner_timeouts,
            is_service_rate_limited=status.is_service_rate_limited,
        )
        self._runtime.emit(PeerSend(heartbeat))

    def on_peer_message(self, message: ControllerHeartbeat) -> None:
        """A peer's heartbeat has arrived."""
        now = self._runtime.now
        self.last_heartbeats[message.node] = ReceivedHeartbeat(
            now, now - message.store_answer_age_s, message
        )

    # --- a single controller ----------------------------------------------
    def is_reachable(self, node: str) -> bool:
        """Did the last heartbeat of the node arrive within `CONTROLLER_HEARTBEAT_TIMEOUT_S`?"""
        if node == self._runtime.node:
            return True
        received = self.last_heartbeats.get(node)
        return (
            received is not None
            and self._runtime.now - received.received_at < constants.CONTROLLER_HEARTBEAT_TIMEOUT_S
        )

    def is_served_by_store(self, node: str) -> bool:
        """Is the node reachable, and lately served by the store, as far as it says?"""
        if node == self._runtime.node:
            return self._membership.can_act()
        return self.is_reachable(node) and (
            self._runtime.now - self.last_heartbeats[node].served_at
            < constants.STORE_UNREACHABLE_TIMEOUT_S
        )

    def receives_worker_reports(self, node: str) -> bool:
        """Is the node reachable, and do most of its workers reach it, as far as it says?"""
        received = self.last_heartbeats.get(node)
        fraction = received.heartbeat.reporting_fraction if received is not None else 1.0
        return self.is_reachable(node) and fraction >= constants.REPORTING_SHARE_MIN

    # --- all peers --------------------------------------------------------
    def _from_reachable_peers(self) -> Iterator[ReceivedHeartbeat]:
        return (
            received for peer, received in self.last_heartbeats.items() if self.is_reachable(peer)
        )

    def is_any_peer_rate_limited(self) -> bool:
        """Do services of another controller wait for the writes that all share?"""
        return any(
            received.heartbeat.is_service_rate_limited for received in self._from_reachable_peers()
        )

    def owner_timeouts_at_peers(self, owner: str) -> int:
        """Workers that came to a reachable peer after waiting for the owner in vain."""
        return sum(
            received.heartbeat.owner_timeouts.get(owner, 0)
            for received in self._from_reachable_peers()
        )

    def peer_with_most_owner_timeouts(self, owner: str) -> str | None:
        """The reachable peer to which most of those workers came; None if none did."""
        counts = {
            received.heartbeat.node: received.heartbeat.owner_timeouts.get(owner, 0)
            for received in self._from_reachable_peers()
        }
        peer = max(sorted(counts), key=counts.__getitem__, default=None)
        return peer if peer is not None and counts[peer] else None

    # --- failures ---------------------------------------------------------
    def _is_served_less_than_peers(self) -> bool:
        """Was the store's last answer to this controller well before its last one to a peer?

        In an outage, the peers were last served at about the same time. True as well if no peer
        is reachable.
        """
        served_at = self._membership.store_answered_at
        if not self._peers or self._runtime.now - served_at < constants.ISOLATION_TIMEOUT_S:
            return False
        reachable = [peer for peer in self._peers if self.is_reachable(peer)]
        return not reachable or any(
            self.last_heartbeats[peer].served_at - served_at > constants.ISOLATION_PEER_AHEAD_S
            for peer in reachable
        )

    def is_isolated(self) -> bool:
        """Is this controller the only one that the store does not serve, for some time now?

        True as well if it reaches no peer: then the others probably go on without it.
        """
        return self._runtime.now - self._not_isolated_at > constants.ISOLATION_CONFIRMATION_S

    def has_leader_failed(self) -> bool:
        """Does the leader, and not the network between all controllers, fail?

        It says itself that the store does not serve it, or it alone is unreachable.
        """
        view = self._replica.view
        if view is None or self.is_served_by_store(view.leader):
            return False
        others = [peer for peer in self._peers if peer != view.leader and peer in view.members]
        return self.is_reachable(view.leader) or any(
            self.is_served_by_store(peer) for peer in others
        )

"""Connects the core to sockets and clocks.

Commands from all sources go through one queue and are handled by the core in batches. The
resulting effects are executed as asynchronous I/O, whose replies are queued as further commands.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import time
from collections.abc import Awaitable, Coroutine
from typing import Any, TypeVar

from appledock import constants as c
from appledock import wire
from appledock.adapters import http_requests
from appledock.adapters.cloud import Cloud
from appledock.adapters.cloud import operation as cloud_operation
from appledock.adapters.store import Store, operation
from appledock.adapters.workers import WorkerCalls
from appledock.capacity.settings import Capacity
from appledock.core.cloud_calls import CloudOutcome
from appledock.core.commands import (
    CloudReply,
    Command,
    PeerConnected,
    PeerMessageReceived,
    StoreReply,
    Tick,
    WorkerOutcome,
    WorkerReply,
)
from appledock.core.controller import Controller
from appledock.core.effects import (
    CloudCall,
    Effect,
    PeerSend,
    Response,
    SetLogLevel,
    StoreCall,
    WorkerCall,
)
from appledock.core.store_calls import UnknownOutcome, WatchKeys
from appledock.metrics import Metrics
from appledock.net.http import SendResponse, Server
from appledock.net.peers import IncomingPeerLink, OutgoingPeerLink, encode_netstring
from appledock.rebalancing.settings import Rebalancing
from appledock.settings import Settings, split_address

log = logging.getLogger(__name__)

Reply = TypeVar("Reply", StoreReply, CloudReply, WorkerReply)


class App:
    """A controller process: the core with its HTTP server, peer links and clients."""

    def __init__(
        self,
        settings: Settings,
        rebalancing: Rebalancing | None = None,
        capacity: Capacity | None = None,
    ) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        rng = random.Random()
        self.engine = Controller(
            settings, f"{rng.getrandbits(48):012x}", rng, rebalancing, capacity
        )
        self.queue: list[Command] = []
        self.batch_scheduled = False
        self.next_batch_at = 0.0
        """earliest time of the next batch, on the steady clock"""
        self.responders: dict[int, SendResponse] = {}
        """request ID -> function that sends the response"""
        self.arrivals: dict[int, tuple[str, float]] = {}
        """request ID -> name of its latency metric, and its arrival on the steady clock"""
        self.metrics = Metrics()
        self.last_request_id = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.store = Store(*split_address(settings.external.state))
        self.cloud = Cloud(*split_address(settings.external.cloud))
        self.workers = WorkerCalls(int(settings.cluster.limits.fd_limit * c.FD_WORKERS_SHARE))
        max_connections = settings.cluster.limits.fd_limit - c.FD_RESERVE - self.workers.max_clients
        self.server = Server(self._handle_request, max_connections)
        self.links = {
            peer.name: OutgoingPeerLink(
                peer.name,
                *split_address(peer.address),
                on_connected=lambda name: self.push(PeerConnected(name)),
            )
            for peer in settings.peers
        }
        self.peer_payloads: dict[str, list[bytes]] = {name: [] for name in self.links}
        """peer -> encoded messages that result from the current batch"""

    async def run(self) -> None:
        """Serve until the process is killed."""
        await self.server.start(*split_address(self.settings.listen))
        await self.loop.create_server(
            lambda: IncomingPeerLink(lambda message: self.push(PeerMessageReceived(message))),
            *split_address(self.settings.peer_listen),
            reuse_address=True,
        )
        for link in self.links.values():
            self._spawn(link.run())
        log.info(
            "controller listening: name=%s address=%s max_connections=%d",
            self.settings.name,
            self.settings.listen,
            self.server.max_connections,
        )
        gc.freeze()
        gc.set_threshold(c.GC_THRESHOLD_OBJECTS)
        self.push(Tick())
        while True:
            await asyncio.sleep(c.TICK_S)
            self.push(Tick())

    def push(self, command: Command) -> None:
        """Queue a command; all queued commands are handled as one batch.

        Batches are at least `BATCH_INTERVAL_S` apart. Without this interval, nearly every command
        is a batch of its own; with hundreds of machines, the work that follows each batch then
        costs more than the commands themselves.
        """
        self.queue.append(command)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            if self.loop.time() >= self.next_batch_at:
                self.loop.call_soon(self._handle_batch)
            else:
                # Deferred by one iteration of the event loop, so that replies that are read in
                # the same iteration join the batch.
                self.loop.call_at(self.next_batch_at, self.loop.call_soon, self._handle_batch)

    def _handle_batch(self) -> None:
        self.batch_scheduled = False
        self.next_batch_at = self.loop.time() + c.BATCH_INTERVAL_S
        batch, self.queue = self.queue, []
        started_at = self.loop.time()
        effects = self.engine.handle(batch, started_at, time.time())
        self.metrics.record("engine.batch", self.loop.time() - started_at)
        for effect in effects:
            self._execute(effect)
        # One write for all messages of a batch to a peer, since each write is a system call.
        for name, payloads in self.peer_payloads.items():
            if payloads:
                self.links[name].send(b"".join(payloads))
                payloads.clear()

    def _handle_request(
        self, method: str, path: str, _query: str, body: bytes, respond: SendResponse
    ) -> None:
        self.last_request_id += 1
        if path == http_requests.ADMIN_PATH_PREFIX + "metrics" and method == "GET":
            respond(
                200,
                wire.encode(
                    {
                        **self.metrics.summary(),
                        "conflicts": self.engine.client.conflicts,
                        "refusals": self.engine.client.refusals,
                        "moves": self.engine.moves.outcomes,
                        "limits_untaken": self.engine.quota_allocation.deferral_summary(),
                        "connections": {
                            "open": len(self.server.connections),
                            "most": self.server.max_connections,
                            "refused": self.server.refused_count,
                        },
                    }
                ),
                None,
            )
            return
        try:
            command = http_requests.parse_command(self.last_request_id, method, path, body)
        except http_requests.Refused as refused:
            respond(refused.status, wire.encode({"error": refused.error}), refused.headers)
            return
        self.responders[self.last_request_id] = respond
        self.arrivals[self.last_request_id] = (http_requests.metric_name(command), self.loop.time())
        self.push(command)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Response():
                respond = self.responders.pop(effect.request_id, None)
                if respond is not None:
                    name, arrived_at = self.arrivals.pop(effect.request_id)
                    self.metrics.record(f"request.{name}", self.loop.time() - arrived_at)
                    respond(effect.status, wire.encode(effect.body), effect.headers)
            case StoreCall():
                self._spawn(self._run_store_call(effect))
            case CloudCall():
                self._spawn(self._run_cloud_call(effect))
            case WorkerCall():
                self._spawn(self._run_worker_call(effect))
            case PeerSend():
                payload = encode_netstring(wire.encode(effect.message))
                for name, payloads in self.peer_payloads.items():
                    if effect.to is None or effect.to == name:
                        payloads.append(payload)
            case SetLogLevel():
                logging.getLogger().setLevel(effect.level.upper())

    async def _run_store_call(self, call: StoreCall) -> None:
        started_at = self.loop.time()
        reply = await self._reply_or_unknown(
            self.store.run(call), StoreReply(call.call_id, UnknownOutcome())
        )
        if not isinstance(call.request, WatchKeys):
            self.metrics.record(f"state.{operation(call.request)}", self.loop.time() - started_at)
        self.push(reply)

    async def _run_cloud_call(self, call: CloudCall) -> None:
        started_at = self.loop.time()
        reply = await self._reply_or_unknown(
            self.cloud.run(call), CloudReply(call.call_id, CloudOutcome.UNKNOWN)
        )
        self.metrics.record(f"cloud.{cloud_operation(call.request)}", self.loop.time() - started_at)
        self.push(reply)

    async def _run_worker_call(self, call: WorkerCall) -> None:
        self.push(
            await self._reply_or_unknown(
                self.workers.run(call), WorkerReply(call.call_id, WorkerOutcome.UNKNOWN)
            )
        )

    @staticmethod
    async def _reply_or_unknown(pending_reply: Awaitable[Reply], unknown: Reply) -> Reply:
        """Return the reply, or `unknown` if the call raises an exception.

        The core must get a reply to every call: while a lease renewal, a view confirmation or a
        rental is in flight, it starts no other, so a lost reply would block it forever.
        """
        try:
            return await pending_reply
        except Exception:  # a bug, or an answer on which a library fails
            log.exception("call failed")
            return unknown

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception())

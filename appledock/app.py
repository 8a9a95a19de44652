"""Wires the core to sockets and clocks: one queue, one owner, one process."""

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
from appledock.adapters import users
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
from appledock.net.http import Answer, Server
from appledock.net.peers import PeerLink, PeerServer, frame
from appledock.rebalancing.settings import Rebalancing
from appledock.settings import Settings, split_address

log = logging.getLogger(__name__)

Called = TypeVar("Called", StoreReply, CloudReply, WorkerReply)


class App:
    """One controller."""

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
        self.scheduled = False
        self.next_batch = 0.0
        self.answers: dict[int, Answer] = {}
        self.started: dict[int, tuple[str, float]] = {}
        """request -> its kind and when it came, for the metrics"""
        self.metrics = Metrics()
        self.last_request_id = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.store = Store(*split_address(settings.external.state))
        self.cloud = Cloud(*split_address(settings.external.cloud))
        self.workers = WorkerCalls(int(settings.cluster.limits.fd_limit * c.FD_WORKERS_SHARE))
        sockets = settings.cluster.limits.fd_limit - c.FD_RESERVE - self.workers.most
        self.server = Server(self._request, sockets)
        self.links = {
            peer.name: PeerLink(
                peer.name,
                *split_address(peer.address),
                opened=lambda name: self.push(PeerConnected(name)),
            )
            for peer in settings.peers
        }
        self.outgoing: dict[str, list[bytes]] = {name: [] for name in self.links}
        """peer -> messages of the present batch"""

    async def run(self) -> None:
        """Serve until the process is killed."""
        await self.server.start(*split_address(self.settings.listen))
        await self.loop.create_server(
            lambda: PeerServer(lambda message: self.push(PeerMessageReceived(message))),
            *split_address(self.settings.peer_listen),
            reuse_address=True,
        )
        for link in self.links.values():
            self._spawn(link.run())
        log.info(
            "%s listens on %s, for %d connections at most",
            self.settings.name,
            self.settings.listen,
            self.server.limit,
        )
        gc.freeze()
        gc.set_threshold(c.GC_THRESHOLD_OBJECTS)
        self.push(Tick())
        while True:
            await asyncio.sleep(c.TICK_S)
            self.push(Tick())

    def push(self, command: Command) -> None:
        """Queue a command; the whole queue is worked through as one batch.

        Batches keep a least distance: with hundreds of machines what follows from a batch cost
        more than its commands, since nearly every command was a batch of its own.
        """
        self.queue.append(command)
        if not self.scheduled:
            self.scheduled = True
            if self.loop.time() >= self.next_batch:
                self.loop.call_soon(self._work)
            else:
                # One pass of the loop later: answers read in the same pass come along.
                self.loop.call_at(self.next_batch, self.loop.call_soon, self._work)

    def _work(self) -> None:
        self.scheduled = False
        self.next_batch = self.loop.time() + c.BATCH_INTERVAL_S
        batch, self.queue = self.queue, []
        since = self.loop.time()
        effects = self.engine.handle(batch, since, time.time())
        self.metrics.took("engine.batch", self.loop.time() - since)
        for effect in effects:
            self._carry_out(effect)
        # One write for all that a batch says to a peer: each costs a system call.
        for name, payloads in self.outgoing.items():
            if payloads:
                self.links[name].send(b"".join(payloads))
                payloads.clear()

    def _request(self, method: str, path: str, _query: str, body: bytes, answer: Answer) -> None:
        self.last_request_id += 1
        if path == users.ADMIN + "metrics" and method == "GET":
            answer(
                200,
                wire.encode(
                    {
                        **self.metrics.summary(),
                        "conflicts": self.engine.client.conflicts,
                        "refusals": self.engine.client.refusals,
                        "moves": self.engine.moves.outcomes,
                        "connections": {
                            "open": len(self.server.connections),
                            "most": self.server.limit,
                            "refused": self.server.refused,
                        },
                    }
                ),
                None,
            )
            return
        try:
            command = users.command(self.last_request_id, method, path, body)
        except users.Refused as refused:
            answer(refused.status, wire.encode({"error": refused.error}), refused.headers)
            return
        self.answers[self.last_request_id] = answer
        self.started[self.last_request_id] = (users.metric_name(command), self.loop.time())
        self.push(command)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Response():
                answer = self.answers.pop(effect.request_id, None)
                if answer is not None:
                    kind, since = self.started.pop(effect.request_id)
                    self.metrics.took(f"request.{kind}", self.loop.time() - since)
                    answer(effect.status, wire.encode(effect.body), effect.headers)
            case StoreCall():
                self._spawn(self._store(effect))
            case CloudCall():
                self._spawn(self._cloud(effect))
            case WorkerCall():
                self._spawn(self._worker(effect))
            case PeerSend():
                payload = frame(wire.encode(effect.message))
                for name, payloads in self.outgoing.items():
                    if effect.to is None or effect.to == name:
                        payloads.append(payload)
            case SetLogLevel():
                logging.getLogger().setLevel(effect.level.upper())

    async def _store(self, call: StoreCall) -> None:
        since = self.loop.time()
        reply = await self._outcome(
            self.store.run(call), StoreReply(call.call_id, UnknownOutcome())
        )
        if not isinstance(call.request, WatchKeys):
            self.metrics.took(f"state.{operation(call.request)}", self.loop.time() - since)
        self.push(reply)

    async def _cloud(self, call: CloudCall) -> None:
        since = self.loop.time()
        reply = await self._outcome(
            self.cloud.run(call), CloudReply(call.call_id, CloudOutcome.UNKNOWN)
        )
        self.metrics.took(f"cloud.{cloud_operation(call.request)}", self.loop.time() - since)
        self.push(reply)

    async def _worker(self, call: WorkerCall) -> None:
        self.push(
            await self._outcome(
                self.workers.run(call), WorkerReply(call.call_id, WorkerOutcome.UNKNOWN)
            )
        )

    @staticmethod
    async def _outcome(answer: Awaitable[Called], unknown: Called) -> Called:
        """Give the answer, whatever happens.

        Guards against calls that the core waits for for ever: one renewal, proof or rental
        whose end it never hears, and it sends no other.
        """
        try:
            return await answer
        except Exception:  # a bug, or an answer that a library chokes on
            log.exception("call failed")
            return unknown

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception())

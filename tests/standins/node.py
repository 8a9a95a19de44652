"""One controller process in simulated time, and the calls that it makes."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from appledock import wire
from appledock.core import events as ev
from appledock.core.engine import Engine
from tests.standins.deployment import settings_file
from tests.standins.machines import Worker
from tests.standins.versions import Code

if TYPE_CHECKING:
    from tests.standins.world import World

Answer = Callable[[int, Any], None]


@dataclass
class LateCommand:
    """A direct command that was held up, without an answer."""

    node: str
    incarnation: int
    machine: str
    orders: dict[str, Any]
    sent: float
    by_leader: bool
    """its sender led when it sent it"""
    done: float = 0.0
    status: int = 0
    deposed: bool = False
    """its sender led, and another one did when it arrived"""


class Node:
    """One controller process; crashes lose everything it holds."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.clock = world, name, world.clock
        self.code: Code = world.code
        """the version that runs at its next start"""
        self.life = 0
        self.up = False
        self.drift = 1 + (self.clock.rng.random() - 0.5) * 0.001
        self.boot()

    def boot(self) -> None:
        self.life += 1
        self.up = True
        self.frozen = 0.0
        self.stuck = 0.0
        """s; how long it stands still between its next batch and the effects of that"""
        rng = random.Random(self.clock.rng.random())
        self.runs = self.code
        self.engine: Engine = self.runs.controller(
            settings_file(self.name, self.world.names, self.world.announced),
            f"{self.name}.{self.life}",
            rng,
            self.world.rebalancing,
            self.world.shares,
        )
        self.inbox: list[Any] = []
        self.answers: dict[int, Answer] = {}
        self.asked = 0
        for peer in self.world.names:
            if peer != self.name:
                self.inbox.append(self.runs.events.PeerOpened(peer))
        for other in self.world.nodes.values():
            if other is not self and other.up:
                other.inbox.append(other.runs.events.PeerOpened(self.name))
        self._tick(self.life)

    def crash(self, seconds: float) -> None:
        if self.up:
            self.up = False
            self.clock.after(seconds, self.boot)

    def freeze(self, seconds: float, mid_batch: bool = False) -> None:
        """The process stands still while its clocks run on. `mid_batch`: after the next
        batch has been worked through, and before anything of it has left."""
        if self.up and mid_batch:
            self.stuck = seconds
        elif self.up:
            life, self.frozen = self.life, self.clock.now + seconds
            self.clock.after(seconds, lambda: self._thaw(life))

    def _thaw(self, life: int) -> None:
        if self.alive(life):
            self._tick(life)
            self._work()

    def _tick(self, life: int) -> None:
        if self.up and life == self.life and self.clock.now >= self.frozen:
            self.push(self.runs.events.Tick())
            self.clock.after(self.runs.constants.TICK_S, lambda: self._tick(life))

    def push(self, command: ev.Cmd) -> None:
        self.inbox.append(command)
        if len(self.inbox) == 1 or isinstance(command, self.runs.events.Tick):
            self.clock.after(0.0002, self._work)

    def _work(self) -> None:
        if not self.up or not self.inbox or self.clock.now < self.frozen:
            return
        batch, self.inbox = self.inbox, []
        life = self.life
        effects = self.engine.handle(batch, self.clock.now * self.drift, 1e9 + self.clock.now)
        if self.stuck:
            self.clock.after(self.stuck, lambda: self._late(effects, life))
            seconds, self.stuck = self.stuck, 0.0
            self.freeze(seconds)
            return
        for effect in effects:
            self._carry_out(effect, life)

    def _late(self, effects: list[ev.Effect], life: int) -> None:
        for effect in effects:
            if self.alive(life):
                self._carry_out(effect, life)

    def alive(self, life: int) -> bool:
        return self.up and self.life == life

    def _carry_out(self, effect: ev.Effect, life: int) -> None:
        code = self.runs
        match effect:
            case code.events.Reply():
                answer = self.answers.pop(effect.ask, None)
                if answer is not None:
                    answer(effect.status, json.loads(code.wire.encode(effect.body)))
            case code.events.StoreCall():
                self._call(
                    "state",
                    self.world.state.request,
                    code.store.request(effect),
                    effect.timeout,
                    life,
                    effect.tag,
                    code.events.StoreReply,
                    lambda s, b: code.store.classify(effect, s, b),
                )
            case code.events.CloudCall():
                self._call(
                    "cloud",
                    self.world.cloud.request,
                    code.cloud.request(effect),
                    effect.timeout,
                    life,
                    effect.tag,
                    code.events.CloudReply,
                    lambda s, b: code.cloud.classify(effect, s, b),
                )
            case code.events.WorkerCall():
                self._order(effect, life)
            case code.events.PeerSend():
                data = code.wire.encode(effect.message)
                for peer in self.world.names:
                    if peer != self.name and effect.to in (None, peer):
                        deliver = partial(self._deliver, peer, data)
                        self.clock.send(self.name, peer, deliver, link=True)

    def _deliver(self, peer: str, data: bytes) -> None:
        self.world.nodes[peer].receive(json.loads(data))

    def receive(self, message: dict[str, Any]) -> None:
        if self.up:
            self.push(self.runs.events.PeerMessage(message))

    def _call(
        self,
        host: str,
        target: Any,
        request: tuple[str, str, bytes],
        timeout: float,
        life: int,
        tag: int,
        reply: Any,
        classify: Any,
    ) -> None:
        """A call: refused connections are not executed, held ones are, late."""
        open_ = [True]

        def finish(outcome: str, data: Any = None) -> None:
            if open_[0] and self.alive(life):
                open_[0] = False
                self.push(reply(tag, outcome, data))

        if self.clock.parted(self.name, host) and self.clock.rng.random() < 0.5:
            self.clock.after(1.0, lambda: finish("refused"))
            return
        self.clock.after(timeout, lambda: finish("unknown"))

        def answered(status: int, body: Any) -> None:
            self.clock.send(
                host, self.name, lambda: finish(*classify(status, json.dumps(body).encode()))
            )

        def arrive() -> None:
            target(self.name, *request, answered)

        late = self.world.late
        if late and host == "state" and self.clock.rng.random() < late:
            self.clock.after(self.clock.rng.random() * 20, arrive)
        else:
            self.clock.send(self.name, host, arrive)

    def _order(self, call: ev.WorkerCall, life: int) -> None:
        worker = next(
            (w for w in self.world.cloud.workers.values() if w.row["addr"] == call.addr), None
        )
        open_ = [True]

        def finish(outcome: str, report: Any = None) -> None:
            if open_[0] and self.alive(life):
                open_[0] = False
                self.push(self.runs.events.WorkerReply(call.tag, outcome, report))

        name = worker.row["id"] if worker else "nobody"
        if worker is None or (self.clock.parted(self.name, name) and self.clock.rng.random() < 0.3):
            self.clock.after(1.0, lambda: finish("not_sent"))
            return
        self.clock.after(call.timeout, lambda: finish("unknown"))

        def answered(status: int, body: Any) -> None:
            report = msgspec.convert(body, self.runs.wire.Report)
            self.clock.send(
                name, self.name, lambda: finish("ok" if status == 200 else "stale", report)
            )

        def arrive(worker: Worker = worker) -> None:
            if call.orders is None:
                worker.show(answered)
            else:
                worker.orders(json.loads(wire.encode(call.orders)), answered)

        if (
            call.orders is not None
            and self.world.repeats
            and (self.clock.rng.random() < self.world.repeats)
        ):
            orders = json.loads(wire.encode(call.orders))
            self.clock.after(
                5 + self.clock.rng.random() * 40, lambda: worker.orders(orders, lambda *_: None)
            )
        late_commands = self.world.late_commands
        if call.orders is not None and late_commands and self.clock.rng.random() < late_commands:
            self._hold_command(worker, json.loads(wire.encode(call.orders)))
        elif call.orders is not None and self.clock.rng.random() < self.world.late_orders:
            self.clock.after(1 + self.clock.rng.random() * 7, arrive)
        else:
            self.clock.send(self.name, name, arrive)

    def _hold_command(self, worker: Worker, orders: dict[str, Any]) -> None:
        """It is carried out once, seconds later, and its answer reaches nobody."""
        world, clock = self.world, self.clock
        late = LateCommand(
            self.name,
            self.life,
            worker.row["id"],
            orders,
            clock.now,
            world.leader() == self.name,
        )
        world.commanded.append(late)

        def answered(status: int, _: Any) -> None:
            late.done, late.status = clock.now, status

        def arrive() -> None:
            late.deposed = late.by_leader and (
                world.leader() != self.name or self.life != late.incarnation
            )
            worker.orders(orders, answered)

        clock.after(2 + 14 * clock.rng.random(), arrive)

    def request(self, method: str, path: str, body: bytes, answer: Answer) -> None:
        self.asked += 1
        try:
            command = self.runs.users.command(self.asked, method, path, body)
        except self.runs.users.Refused as refused:
            answer(refused.status, {"error": refused.error})
            return
        self.answers[self.asked] = answer
        self.push(command)

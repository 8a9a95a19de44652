"""One controller process in simulated time, and the calls that it makes."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, ClassVar

from tests.standins.deployment import settings_file
from tests.standins.machines import Worker
from tests.standins.versions import Code, EffectKind, HttpCall, RefusedRequest

if TYPE_CHECKING:
    from tests.standins.world import World

Answer = Callable[[int, Any], None]
Observer = Callable[["Node", list[Any]], None]
"""gets the effects of each batch, before any of them is carried out"""


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

    observers: ClassVar[list[Observer]] = []
    """of all controllers of this process"""

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
        self.engine: Any = self.runs.controller(
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
                self.inbox.append(self.runs.peer_opened(peer))
        for other in self.world.nodes.values():
            if other is not self and other.up:
                other.inbox.append(other.runs.peer_opened(self.name))
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
            self.push(self.runs.tick())
            self.clock.after(self.runs.tick_s, lambda: self._tick(life))

    def push(self, command: Any) -> None:
        self.inbox.append(command)
        if len(self.inbox) == 1 or self.runs.is_tick(command):
            self.clock.after(0.0002, self._work)

    def _work(self) -> None:
        if not self.up or not self.inbox or self.clock.now < self.frozen:
            return
        batch, self.inbox = self.inbox, []
        life = self.life
        now, wall = self.clock.now * self.drift, 1e9 + self.clock.now
        effects = self.runs.handle(self.engine, batch, now, wall)
        for observer in self.observers:
            observer(self, effects)
        if self.stuck:
            self.clock.after(self.stuck, lambda: self._late(effects, life))
            seconds, self.stuck = self.stuck, 0.0
            self.freeze(seconds)
            return
        for effect in effects:
            self._carry_out(effect, life)

    def _late(self, effects: list[Any], life: int) -> None:
        for effect in effects:
            if self.alive(life):
                self._carry_out(effect, life)

    def alive(self, life: int) -> bool:
        return self.up and self.life == life

    def _carry_out(self, effect: Any, life: int) -> None:
        code = self.runs
        match code.kind(effect):
            case EffectKind.REPLY:
                answer = self.answers.pop(code.request_id(effect), None)
                if answer is not None:
                    answer(code.reply_status(effect), json.loads(code.reply_body(effect)))
            case EffectKind.STORE_CALL:
                self._call(
                    "state",
                    self.world.state.request,
                    code.store_request(effect),
                    code.timeout_s(effect),
                    life,
                    partial(code.store_reply, effect),
                    partial(code.store_answered, effect),
                )
            case EffectKind.CLOUD_CALL:
                self._call(
                    "cloud",
                    self.world.cloud.request,
                    code.cloud_request(effect),
                    code.timeout_s(effect),
                    life,
                    partial(code.cloud_reply, effect),
                    partial(code.cloud_answered, effect),
                )
            case EffectKind.WORKER_CALL:
                self._order(effect, life)
            case EffectKind.PEER_SEND:
                data = code.peer_body(effect)
                for peer in self.world.names:
                    if peer != self.name and code.peer_target(effect) in (None, peer):
                        deliver = partial(self._deliver, peer, data)
                        self.clock.send(self.name, peer, deliver, link=True)

    def _deliver(self, peer: str, data: bytes) -> None:
        self.world.nodes[peer].receive(json.loads(data))

    def receive(self, message: dict[str, Any]) -> None:
        if self.up:
            self.push(self.runs.peer_message(message))

    def _call(
        self,
        host: str,
        target: Any,
        request: HttpCall,
        timeout_s: float,
        life: int,
        unanswered: Callable[[str], Any],
        answer_command: Callable[[int, bytes], Any],
    ) -> None:
        """A call: refused connections are not executed, held ones are, late."""
        open_ = [True]

        def finish(command: Any) -> None:
            if open_[0] and self.alive(life):
                open_[0] = False
                self.push(command)

        if self.clock.parted(self.name, host) and self.clock.rng.random() < 0.5:
            self.clock.after(1.0, lambda: finish(unanswered("refused")))
            return
        self.clock.after(timeout_s, lambda: finish(unanswered("unknown")))

        def answered(status: int, body: Any) -> None:
            self.clock.send(
                host, self.name, lambda: finish(answer_command(status, json.dumps(body).encode()))
            )

        def arrive() -> None:
            target(self.name, request.method, request.path, request.body, answered)

        late = self.world.late
        if late and host == "state" and self.clock.rng.random() < late:
            self.clock.after(self.clock.rng.random() * 20, arrive)
        else:
            self.clock.send(self.name, host, arrive)

    def _order(self, call: Any, life: int) -> None:
        code = self.runs
        address, encoded = code.worker_address(call), code.worker_orders(call)
        worker = next(
            (w for w in self.world.cloud.workers.values() if w.row["addr"] == address), None
        )
        open_ = [True]

        def finish(outcome: str, report: Any = None) -> None:
            if open_[0] and self.alive(life):
                open_[0] = False
                self.push(code.worker_reply(call, outcome, report))

        name = worker.row["id"] if worker else "nobody"
        if worker is None or (self.clock.parted(self.name, name) and self.clock.rng.random() < 0.3):
            self.clock.after(1.0, lambda: finish("not_sent"))
            return
        self.clock.after(code.timeout_s(call), lambda: finish("unknown"))

        def answered(status: int, body: Any) -> None:
            outcome = "ok" if status == 200 else "stale"
            self.clock.send(name, self.name, lambda: finish(outcome, body))

        def arrive(worker: Worker = worker) -> None:
            if encoded is None:
                worker.show(answered)
            else:
                worker.orders(json.loads(encoded), answered)

        if (
            encoded is not None
            and self.world.repeats
            and (self.clock.rng.random() < self.world.repeats)
        ):
            orders = json.loads(encoded)
            self.clock.after(
                5 + self.clock.rng.random() * 40, lambda: worker.orders(orders, lambda *_: None)
            )
        late_commands = self.world.late_commands
        if encoded is not None and late_commands and self.clock.rng.random() < late_commands:
            self._hold_command(worker, json.loads(encoded))
        elif encoded is not None and self.clock.rng.random() < self.world.late_orders:
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
        command = self.runs.user_command(self.asked, method, path, body)
        if isinstance(command, RefusedRequest):
            answer(command.status, {"error": command.error})
            return
        self.answers[self.asked] = answer
        self.push(command)

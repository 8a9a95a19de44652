"""Three controllers, users and all stand-ins in simulated time."""

from __future__ import annotations

import json
from functools import partial
from typing import Any

from appledock import wire
from appledock.capacity.settings import Capacity
from appledock.core.records.membership_view import View
from appledock.rebalancing.settings import Rebalancing
from tests.standins import deployment
from tests.standins.clock import Clock
from tests.standins.judge import Judge
from tests.standins.machines import Cloud
from tests.standins.node import Answer, LateCommand, Node
from tests.standins.state import State
from tests.standins.users import Users
from tests.standins.versions import Code, under_test


class World(Users):
    """The whole simulated cluster."""

    def __init__(
        self,
        seed: int,
        capacity: int = 12,
        code: Code | None = None,
        announced: dict[str, Any] | None = None,
        rebalancing: Rebalancing | None = None,
        shares: Capacity | None = None,
    ) -> None:
        self.code, self.announced = code or under_test(), announced
        self.rebalancing, self.shares = rebalancing, shares
        clock = Clock(seed)
        limits = {team: most for team, (_, most) in deployment.TEAMS.items()}
        super().__init__(clock, Judge(clock, limits, deployment.CANCEL_S))
        self.names = ["n0", "n1", "n2"]
        self.state = State(self.clock)
        self.cloud = Cloud(self, deployment.TYPES, capacity)
        self.late = 0.0
        """share of the state service's requests that arrive up to 20 s late"""
        self.late_orders = 0.0
        """share of direct orders that arrive some seconds late"""
        self.repeats = 0.0
        """share of direct orders that were carried out and come once more, later"""
        self.copies = 0.0
        """share of reports of which a copy arrives somewhere, seconds to minutes late"""
        self.copied: list[tuple[float, str, str]] = []
        """late copies of reports: when, to whom, and whether its machine is `gone`, or in a
        later `session`, or has seen a higher `token`, or none of it"""
        self.late_commands = 0.0
        """share of direct commands that get no answer and are carried out 2 to 16 s late"""
        self.commanded: list[LateCommand] = []
        self.for_next = 0.0
        """share of reports of which a copy is kept for the moment of the next leader"""
        self.kept: list[bytes] = []
        self.came_up: dict[str, float] = {}
        """machine -> when its worker was up"""
        self.mute: dict[str, float] = {}
        """machine -> until when it reaches no controller, while commands reach it"""
        self.leaders: list[tuple[float, str]] = []
        """when a controller, by its incarnation, was first seen to lead"""
        self.zone_cuts: list[tuple[str, set[str], float]] = []
        self.nodes: dict[str, Node] = {}
        for name in self.names:
            self.nodes[name] = Node(self, name)
        self.judge.when_complete = self._completed
        self.cloud.when_up = self._machine_up
        self._look()

    def _look(self) -> None:
        self.judge.look(self.cloud.workers.values())
        view = self.view()
        leader = view.members[self.leader()] if view else ""
        if leader and (not self.leaders or self.leaders[-1][1] != leader):
            self.leaders.append((self.clock.now, leader))
        self.clock.after(0.5, self._look)

    # --- troubles ---------------------------------------------------------
    def view(self) -> View | None:
        """The newest view that any controller knows."""
        known = [node.runs.view(node.engine) for node in self.nodes.values() if node.up]
        views = [view for view in known if view is not None]
        return max(views, key=lambda view: view.term, default=None)

    def leader(self) -> str:
        view = self.view()
        return view.leader if view else self.names[0]

    def cut_zone(self, zone: str, seconds: float, hold: bool) -> None:
        """Its machines, also those that come up meanwhile, and its controller."""
        inside = {name for name in self.names if deployment.ZONES[name] == zone}
        inside |= {
            name for name, worker in self.cloud.workers.items() if worker.row["quay"] == zone
        }
        outside = {"state", "cloud", "user", *self.names, *self.cloud.workers} - inside
        self.clock.cut(inside, outside, seconds, hold)
        until = self.clock.now + seconds
        self.zone_cuts += [(zone, inside, until), ("b" if zone == "a" else "a", outside, until)]

    def _machine_up(self, name: str) -> None:
        self.came_up[name] = self.clock.now
        for zone, side, until in self.zone_cuts:
            if self.clock.now < until and self.cloud.workers[name].row["quay"] == zone:
                side.add(name)

    def peace(self) -> None:
        """All troubles are over."""
        self.late = self.late_orders = self.repeats = self.copies = self.loyal = 0.0
        self.at_end = self.state.late_writes = self.state.lost_answers = 0.0
        self.late_commands = self.for_next = self.close_looks = 0.0
        self.kept.clear()
        self.judge.peace = self.clock.now

    # --- network to the controllers ---------------------------------------
    def call_node(
        self, source: str, node: str, method: str, path: str, body: bytes, answer: Answer
    ) -> None:
        target = self.nodes[node]
        if self.clock.now < self.mute.get(source, 0.0):
            self.clock.after(1.0, lambda: answer(0, {}))
            return
        if path == wire.PATH_REPORT and self.clock.rng.random() < self.copies:
            self.late_copy(
                self.clock.rng.choice(self.names), body, 2 + self.clock.rng.random() * 40
            )
        if path == wire.PATH_REPORT and self.for_next and self.clock.rng.random() < self.for_next:
            self.kept.append(body)
        if not target.up:
            self.clock.after(0.01, lambda: answer(0, {}))
            return
        life = target.life

        def arrive() -> None:
            if target.alive(life):
                target.request(
                    method,
                    path,
                    body,
                    lambda status, reply: self.clock.send(
                        node, source, lambda: answer(status, reply)
                    ),
                )

        self.clock.send(source, node, arrive)

    def late_copy(self, node: str, report: bytes, delay: float) -> None:
        """An old report comes again; whatever is answered reaches nobody."""

        def arrive() -> None:
            if self.nodes[node].up:
                self.copied.append((self.clock.now, node, self._age(json.loads(report))))
                self.nodes[node].request("POST", wire.PATH_REPORT, report, lambda *_: None)

        self.clock.after(delay, arrive)

    def keep_for_next(self, share: float, seconds: float) -> None:
        """Copies of that share of the reports reach every controller, the new leader too, at
        the moment at which the next leader begins."""
        self.for_next = share
        until, leader = self.clock.now + seconds, self._led_by()

        def look() -> None:
            nonlocal leader
            if self.clock.now >= until or not self.for_next:
                self.for_next = 0.0
                return
            if self._led_by() != leader:
                leader = self._led_by()
                kept, self.kept = self.kept, []
                for body in kept:
                    for name in self.names:
                        self.late_copy(name, body, 0.05 * self.clock.rng.random())
            self.clock.after(0.01, look)

        look()

    def _led_by(self) -> str:
        """Incarnation of the leader in the newest view."""
        view = self.view()
        return view.members.get(view.leader, "") if view else ""

    def _age(self, report: dict[str, Any]) -> str:
        worker = self.cloud.workers.get(report["dockhand"])
        if worker is None:
            return "gone"
        if report["shift"] < worker.session:
            return "session"
        return "token" if report["warrant"] < worker.token else "none"

    def upgrade(self, every_s: float, away_s: float = 5.0, code: Code | None = None) -> None:
        """All controllers are restarted with the version under test (or with the
        one of `code`), one after the other."""

        def one(node: Node) -> None:
            node.code = code or under_test()
            node.crash(away_s)

        for place, node in enumerate(self.nodes.values()):
            self.clock.after(place * every_s, partial(one, node))

    def refuse_peers(self, seconds: float) -> None:
        """Connections between controllers are refused; then they are opened anew."""
        for name in self.names:
            self.clock.cut({name}, set(self.names) - {name}, seconds, False)

        def reopen() -> None:
            for node in self.nodes.values():
                for peer in self.names:
                    if node.up and peer != node.name:
                        node.push(node.runs.peer_opened(peer))

        self.clock.after(seconds + 0.4, reopen)

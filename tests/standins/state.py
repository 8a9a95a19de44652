"""Stand-in for the state service."""

from __future__ import annotations

import json
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from tests.standins.clock import Clock

Answer = Callable[[int, Any], None]
READ_WITHIN_S = 5.0
"""s in which others read what a transaction without an answer wrote, to be counted"""


@dataclass
class LateWrite:
    """A transaction that got no answer and is carried out seconds later."""

    node: str
    keys: list[str]
    sent: float
    newer: int
    """transactions of the same controller carried out before it was held back"""
    done: float = 0.0
    status: int = 0
    overtaken: bool = False
    """newer ones of the same controller were carried out first"""


@dataclass
class LostAnswer:
    """A transaction that was carried out at once, and of which only the answer is lost."""

    node: str
    keys: set[str]
    sent: float
    status: int = 0
    revision: int = 0
    read_by: set[str] = field(default_factory=set)
    """other controllers that read what it wrote, or built on it, within seconds"""


@dataclass
class Watcher:
    prefix: str
    since: int
    until: float
    answer: Answer
    node: str


class State:
    """Keys, leases, watches, limits and outages."""

    def __init__(self, clock: Clock, write_rps: float = 20.0) -> None:
        self.clock = clock
        self.revision = 0
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.history: list[dict[str, Any]] = []
        self.watchers: list[Watcher] = []
        self.out_until = 0.0
        self.shut_out: dict[str, float] = {}
        """controller -> until when it alone gets 503, its open watch waiting"""
        self.silent: dict[str, float] = {}
        """controller -> until when its watch waits, while its other requests are served"""
        self.late_writes = 0.0
        """share of transactions without an answer, carried out 2 to 12 s later"""
        self.late: list[LateWrite] = []
        self.lost_answers = 0.0
        """share of transactions that are carried out at once and get no answer"""
        self.lost: list[LostAnswer] = []
        self.carried_out: dict[str, int] = {}
        """controller -> transactions carried out"""
        self.slow_until, self.slow_s = 0.0, 0.0
        """requests and answers each take up to so much longer"""
        self.write_rps, self.level, self.filled = write_rps, write_rps, 0.0
        self.refused_writes = 0
        self.value_kb, self.txn_ops = 8.0, 12
        self.too_large = 0
        self._sweep()

    def _sweep(self) -> None:
        now = self.clock.now
        if now >= self.out_until:
            for lease in [k for k, (end, _) in self.leases.items() if end <= now]:
                self._end_lease(lease)
            self._tell_watchers()
        self.clock.after(0.05, self._sweep)

    def _tell_watchers(self) -> None:
        """During an outage, open watches stay open; so does the watch of a controller
        that is refused alone."""
        now = self.clock.now
        for watcher in list(self.watchers):
            if now < max(
                self.out_until,
                self.shut_out.get(watcher.node, 0.0),
                self.silent.get(watcher.node, 0.0),
            ):
                continue
            events = self._events(watcher.prefix, watcher.since)
            if events or watcher.until <= now:
                self.watchers.remove(watcher)
                watcher.answer(200, {"ledger": self.revision, "events": events})

    def slow(self, seconds: float, delay: float) -> None:
        self.slow_until, self.slow_s = self.clock.now + seconds, delay

    def lower(self, value_kb: float, txn_ops: float, write_rps: float) -> None:
        """The limits of `state.next` hold from now on."""
        self.value_kb, self.txn_ops, self.write_rps = value_kb, int(txn_ops), write_rps

    def outage(self, seconds: float) -> None:
        self.out_until = self.clock.now + seconds
        self.leases = {k: (self.out_until + ttl, ttl) for k, (_, ttl) in self.leases.items()}

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, row in self.rows.items() if row[2] == lease]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for write in writes:
            if "set" in write:
                self.rows[write["set"]] = (write["data"], self.revision, write.get("permit"))
                self.history.append(
                    {"set": write["set"], "data": write["data"], "stamp": self.revision}
                )
            elif self.rows.pop(write["drop"], None) is not None:
                self.history.append({"drop": write["drop"], "stamp": self.revision})
        self._tell_watchers()

    def _events(self, prefix: str, since: int) -> list[dict[str, Any]]:
        first = bisect_right(self.history, since, key=lambda event: event["stamp"])
        return [
            event
            for event in self.history[first:]
            if event.get("set", event.get("drop", "")).startswith(prefix)
        ]

    def request(self, node: str, method: str, path: str, body: bytes, answer: Answer) -> None:
        if self.clock.now >= self.slow_until:
            self._request(node, method, path, body, answer)
            return
        rng, delay = self.clock.rng, self.slow_s
        self.clock.after(
            rng.random() * delay,
            lambda: self._request(
                node,
                method,
                path,
                body,
                lambda *reply: self.clock.after(rng.random() * delay, lambda: answer(*reply)),
            ),
        )

    def _request(self, node: str, method: str, path: str, body: bytes, answer: Answer) -> None:
        if self.clock.now < max(self.out_until, self.shut_out.get(node, 0.0)):
            answer(503, {"error": "trouble"})
            return
        url, _, query = path.partition("?")
        args = {k: v[0] for k, v in parse_qs(query).items()}
        if url == "/txn":
            txn = json.loads(body)
            self._note_readers(node, {c["key"]: c["stamp"] for c in txn["if"]})
            if self.late_writes and txn["writes"] and (self.clock.rng.random() < self.late_writes):
                self._hold_back(node, txn)
            elif (
                self.lost_answers and txn["writes"] and self.clock.rng.random() < self.lost_answers
            ):
                self._lose_answer(node, txn)
            else:
                self._txn(node, txn, answer)
        elif url == "/follow":
            since = int(args["since"])
            self.watchers.append(
                Watcher(
                    args["under"],
                    since,
                    self.clock.now + int(args["block_ms"]) / 1000,
                    answer,
                    node,
                )
            )
            self._tell_watchers()
        elif url == "/keys":
            keys = sorted(
                k for k in self.rows if k.startswith(args["under"]) and k > args.get("since", "")
            )
            page = keys[: int(args["limit"])]
            answer(
                200,
                {
                    "rows": [
                        {"key": k, "data": self.rows[k][0], "stamp": self.rows[k][1]} for k in page
                    ],
                    "has_next": len(keys) > len(page),
                    "ledger": self.revision,
                },
            )
        elif url.startswith("/keys/"):
            row = self.rows.get(url[6:])
            if row is not None:
                self._note_readers(node, {url[6:]: row[1]})
            if row is None:
                answer(404, {"ledger": self.revision})
            else:
                answer(200, {"key": url[6:], "data": row[0], "stamp": row[1]})
        else:
            self._lease(method, url, body, answer)

    def _lease(self, method: str, url: str, body: bytes, answer: Answer) -> None:
        if url == "/grants":
            ttl = json.loads(body)["life_ms"] / 1000
            lease = len(self.history) + len(self.leases) + self.clock.count
            self.leases[lease] = (self.clock.now + ttl, ttl)
            answer(200, {"permit": lease})
            return
        lease = int(url.split("/")[2])
        if lease not in self.leases:
            answer(404, {})
        elif method == "DELETE":
            self._end_lease(lease)
            answer(200, {})
        else:
            ttl = self.leases[lease][1]
            self.leases[lease] = (self.clock.now + ttl, ttl)
            answer(200, {})

    def _lose_answer(self, node: str, txn: dict[str, Any]) -> None:
        keys = {write.get("set", write.get("drop")) for write in txn["writes"]}
        lost = LostAnswer(node, keys, self.clock.now)
        self.lost.append(lost)

        def answered(status: int, _: Any) -> None:
            lost.status, lost.revision = status, self.revision

        self._txn(node, txn, answered)

    def _note_readers(self, node: str, versions: dict[str, int]) -> None:
        """A controller reads these versions, or makes a transaction conditional on them."""
        for lost in reversed(self.lost):
            if self.clock.now - lost.sent > READ_WITHIN_S:
                return
            if node != lost.node and any(
                versions.get(key) == lost.revision for key in lost.keys if lost.status == 200
            ):
                lost.read_by.add(node)

    def _hold_back(self, node: str, txn: dict[str, Any]) -> None:
        late = LateWrite(
            node,
            [w.get("set", w.get("drop")) for w in txn["writes"]],
            self.clock.now,
            self.carried_out.get(node, 0),
        )
        self.late.append(late)

        def answered(status: int, _: Any) -> None:
            late.status = status

        def arrive() -> None:
            if self.clock.now < self.out_until:
                self.clock.at(self.out_until + 0.1, arrive)
                return
            late.done = self.clock.now
            late.overtaken = self.carried_out.get(node, 0) > late.newer
            self._txn(node, txn, answered)

        self.clock.after(2 + 10 * self.clock.rng.random(), arrive)

    def _txn(self, node: str, txn: dict[str, Any], answer: Answer) -> None:
        if (
            len(txn["writes"]) > self.txn_ops
            or len(txn["if"]) > 4 * self.txn_ops
            or any(
                len(json.dumps(w.get("data"), separators=(",", ":"))) > self.value_kb * 1024
                for w in txn["writes"]
            )
        ):
            self.too_large += 1
            answer(400, {"error": "too large"})
            return
        now = self.clock.now
        self.level = min(self.write_rps, self.level + (now - self.filled) * self.write_rps)
        self.filled = now
        if len(txn["writes"]) > self.level:
            self.refused_writes += 1
            answer(429, {})
            return
        self.level -= len(txn["writes"])
        if any(
            w.get("permit") is not None and w["permit"] not in self.leases for w in txn["writes"]
        ):
            answer(400, {"error": "no such lease"})
            return
        failed = [
            c["key"]
            for c in txn["if"]
            if (self.rows[c["key"]][1] if c["key"] in self.rows else 0) != c["stamp"]
        ]
        if failed:
            answer(409, {"failed": failed, "ledger": self.revision})
            return
        if txn["writes"]:
            self.carried_out[node] = self.carried_out.get(node, 0) + 1
            self._apply(txn["writes"])
        answer(200, {"ledger": self.revision})

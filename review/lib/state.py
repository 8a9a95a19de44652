"""Stand-in for the state service, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import bisect
import json
import time
from collections.abc import Callable
from typing import Any

from lib.http import Answer, Request, encode

LATENCY_S = 0.002
HISTORY = 10_000


class Bucket:
    """A rate limit that allows bursts of `burst_s` seconds' worth."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate, self.most = rate, rate * burst_s
        self.level, self.at = self.most, time.monotonic()

    def take(self, count: int) -> bool:
        now = time.monotonic()
        self.level = min(self.most, self.level + (now - self.at) * self.rate)
        self.at = now
        if count > self.level:
            return False
        self.level -= count
        return True


class State:
    """Keys, leases, transactions, watches and limits."""

    def __init__(self, limits: dict[str, Any]) -> None:
        self.limits = limits
        self.requests = Bucket(limits["rps"])
        self.writes = Bucket(limits["write_rps"])
        self.revision = 0
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.out_until = 0.0
        self.refused: dict[str, float] = {}
        """node -> until when it alone gets 503"""
        self.closes: Callable[[str, Request], bool] = lambda _node, _request: False
        """whether the response to a node's request carries `Connection: close`"""
        self.before: Callable[[str, Request], Any] | None = None
        """coroutine function called before a request is carried out; returns an answer to give
        instead, or None"""
        self.after: Callable[[str, Request, Answer], Any] | None = None
        """coroutine function called with the answer; returns what to send (None: no answer)"""
        self.counts: dict[str, int] = {}

    def is_out(self, node: str) -> bool:
        return time.monotonic() < max(self.out_until, self.refused.get(node, 0.0))

    def outage(self, seconds: float) -> None:
        self.out_until = time.monotonic() + seconds
        self.leases = {k: (self.out_until + ttl, ttl) for k, (_, ttl) in self.leases.items()}

    async def end_leases(self) -> None:
        """Background task: end the leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if now >= self.out_until:
                for lease in [k for k, (end, _) in self.leases.items() if end <= now]:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, row in self.rows.items() if row[2] == lease]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for write in writes:
            if "set" in write:
                key = write["set"]
                self.rows[key] = (write["data"], self.revision, write.get("permit"))
                self.history.append({"set": key, "data": write["data"], "stamp": self.revision})
            elif self.rows.pop(write["drop"], None) is not None:
                self.history.append({"drop": write["drop"], "stamp": self.revision})
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, node: str, request: Request) -> Answer | None:
        await asyncio.sleep(LATENCY_S)
        answer = await self.before(node, request) if self.before else None
        if answer is None:
            answer = await self._handle(node, request)
        if self.after:
            answer = await self.after(node, request, answer)
        if answer is not None and self.closes(node, request):
            answer.close = True
        return answer

    async def _handle(self, node: str, request: Request) -> Answer:
        self.counts[node] = self.counts.get(node, 0) + 1
        if self.is_out(node):
            return Answer(503, {"error": "trouble"})
        if not self.requests.take(1):
            return Answer(429, {"error": "too fast"})
        if request.path == "/txn":
            return self._txn(request)
        if request.path == "/follow":
            return await self._follow(node, request)
        if request.path == "/keys":
            return self._list(request)
        if request.path.startswith("/keys/"):
            return self._get(request.path[6:])
        return self._lease(request)

    def _get(self, key: str) -> Answer:
        row = self.rows.get(key)
        if row is None:
            return Answer(404, {"ledger": self.revision})
        value, stamp, permit = row
        body = {"key": key, "data": value, "stamp": stamp}
        return Answer(200, body if permit is None else {**body, "permit": permit})

    def _list(self, request: Request) -> Answer:
        under, since = request.query["under"], request.query.get("since", "")
        keys = sorted(key for key in self.rows if key.startswith(under) and key > since)
        rows: list[dict[str, Any]] = []
        size = 0
        for key in keys[: min(1000, int(request.query.get("limit", 1000)))]:
            row = {"key": key, "data": self.rows[key][0], "stamp": self.rows[key][1]}
            size += len(encode(row)) + 1
            if size > 512 * 1024 - 100:
                break
            rows.append(row)
        body = {"rows": rows, "has_next": len(keys) > len(rows), "ledger": self.revision}
        return Answer(200, body)

    async def _follow(self, node: str, request: Request) -> Answer:
        under, since = request.query["under"], int(request.query["since"])
        until = time.monotonic() + int(request.query.get("block_ms", 0)) / 1000
        if len(self.history) > HISTORY and since < self.history[-HISTORY]["stamp"] - 1:
            return Answer(410, {"error": "too old"})
        while True:
            changed, left = self.changed, until - time.monotonic()
            if not self.is_out(node):
                first = bisect.bisect_right(self.history, since, key=lambda event: event["stamp"])
                events = [
                    event
                    for event in self.history[first:]
                    if (event.get("set") or event["drop"]).startswith(under)
                ]
                if events or left <= 0:
                    return Answer(200, {"ledger": self.revision, "events": events})
            try:
                await asyncio.wait_for(changed.wait(), min(max(left, 0.01), 0.2))
            except TimeoutError:
                continue

    def _txn(self, request: Request) -> Answer:
        txn = json.loads(request.body)
        conditions, writes = txn.get("if", []), txn.get("writes", [])
        if (
            len(writes) > self.limits["txn_ops"]
            or len(conditions) > 4 * self.limits["txn_ops"]
            or any(
                len(encode(write.get("data"))) > self.limits["value_kb"] * 1024 for write in writes
            )
        ):
            return Answer(400, {"error": "too large"})
        if not self.writes.take(len(writes)):
            return Answer(429, {"error": "too fast"})
        if any(w.get("permit") is not None and w["permit"] not in self.leases for w in writes):
            return Answer(400, {"error": "no such lease"})
        failed = [c["key"] for c in conditions if self._stamp(c["key"]) != c["stamp"]]
        if failed:
            return Answer(409, {"failed": failed, "ledger": self.revision})
        if writes:
            self._apply(writes)
        return Answer(200, {"ledger": self.revision})

    def _stamp(self, key: str) -> int:
        return self.rows[key][1] if key in self.rows else 0

    def _lease(self, request: Request) -> Answer:
        now = time.monotonic()
        if request.path == "/grants":
            self.last_lease += 1
            ttl = request.json()["life_ms"] / 1000
            self.leases[self.last_lease] = (now + ttl, ttl)
            return Answer(200, {"permit": self.last_lease})
        lease = int(request.path.split("/")[2])
        if lease not in self.leases:
            return Answer(404, {"error": "no such lease"})
        if request.method == "DELETE":
            self._end_lease(lease)
        else:
            ttl = self.leases[lease][1]
            self.leases[lease] = (now + ttl, ttl)
        return Answer(200, {})

"""The stand-ins on real loopback sockets and in real time."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from appledock.app import App
from appledock.net.http import SendResponse, Server
from appledock.settings import parse
from tests.standins.clock import Clock
from tests.standins.deployment import TYPES
from tests.standins.judge import Judge
from tests.standins.machines import Cloud
from tests.standins.state import State


class RealClock(Clock):
    """The steady clock of the loop instead of simulated time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(1)
        self.loop = loop

    @property
    def now(self) -> float:
        return self.loop.time() if hasattr(self, "loop") else 0.0

    @now.setter
    def now(self, value: float) -> None:
        pass

    def at(self, at: float, action: Callable[[], object]) -> None:
        self.count += 1
        self.loop.call_at(at, action)


_reserved: list[socket.socket] = []
"""bound and not listening, as long as this process lives"""


def free_port() -> int:
    """A port on which nobody listens, and that no other socket is given meanwhile.

    Guards against controllers that could not listen: found free and let go, a port was taken
    before they did. A socket that is bound keeps it; since both allow it to be bound again, a
    controller can listen all the same.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    _reserved.append(reserved)
    return int(reserved.getsockname()[1])


class Cluster:
    """One controller with state service and cloud, in a thread of its own."""

    def __init__(self) -> None:
        self.port = free_port()
        self.api = f"127.0.0.1:{self.port}"
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Cluster:
        self.thread.start()
        for _ in range(1200):
            try:
                with socket.create_connection(("127.0.0.1", self.port), 0.2) as s:
                    s.sendall(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
                    if b" 200 " in s.recv(100):
                        return self
            except OSError:
                pass
            time.sleep(0.05)
        raise TimeoutError("the controller does not become healthy")

    def __exit__(self, *exc: object) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.main = self.loop.create_task(self._main())
        self.loop.run_forever()

    async def _main(self) -> None:
        self.clock = RealClock(self.loop)
        self.names = ["solo"]
        self.judge = Judge(self.clock, {"red": 24.0}, 25.0)
        self.state, self.cloud = State(self.clock), Cloud(self, TYPES, 4)
        ports = [await self._serve(target.request) for target in (self.state, self.cloud)]
        settings = parse(
            json.dumps(
                {
                    "node_name": "solo",
                    "public_addr": self.api,
                    "back": f"127.0.0.1:{free_port()}",
                    "external": {
                        "state": f"127.0.0.1:{ports[0]}",
                        "cloud": f"127.0.0.1:{ports[1]}",
                    },
                    "cluster": {
                        "size": 1,
                        "teams": [{"name": "red", "cpus": 8, "cpus_max": 24}],
                        "workers": {"report_s": 1.5, "lease_s": 10.0, "cancel_s": 25.0},
                        "state": {"rps": 100, "write_rps": 20, "value_kb": 8, "txn_ops": 12},
                        "cloud": {"rps": 5, "list_lag_s": 3},
                    },
                }
            ).encode()
        )
        await App(settings).run()

    async def _serve(self, target: Any) -> int:
        def handler(method: str, path: str, query: str, body: bytes, answer: SendResponse) -> None:
            url = f"{path}?{query}" if query else path
            target(
                "solo",
                method,
                url,
                body,
                lambda status, reply: answer(status, json.dumps(reply).encode(), None),
            )

        return await Server(handler, 100).start("127.0.0.1", 0)

    def call_node(
        self,
        source: str,
        node: str,
        method: str,
        path: str,
        body: bytes,
        answer: Callable[[int, Any], None],
    ) -> None:
        """A worker's report, over a real socket."""

        async def call() -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: "
                f"{len(body)}\r\n\r\n".encode()
                + body
            )
            head, _, payload = (await reader.read()).partition(b"\r\n\r\n")
            writer.close()
            answer(int(head.split()[1]), json.loads(payload))

        self.task = self.loop.create_task(call())

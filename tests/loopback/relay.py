"""A TCP relay between two controllers that can delay all data."""

from __future__ import annotations

import asyncio

CHUNK = 65_536
"""bytes; maximum of one read"""


class Relay:
    """Forwards connections to one port; data that it holds arrives late, but is not lost."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.forwarding_enabled = asyncio.Event()
        self.forwarding_enabled.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Start to listen on a free port, and return the port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def hold(self, seconds: float) -> None:
        """Hold all data that is sent during this time."""
        self.forwarding_enabled.clear()
        asyncio.get_running_loop().call_later(seconds, self.forwarding_enabled.set)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._forward(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(CHUNK):
                await self.forwarding_enabled.wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

"""A relay on a link between two controllers, so that the link can be cut and held."""

from __future__ import annotations

import asyncio

CHUNK = 65_536
"""bytes; read at once"""


class Relay:
    """Forwards connections to one port; while it is cut, bytes wait and arrive late."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen; the port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def cut(self, seconds: float) -> None:
        """Hold all that is sent for so long."""
        self.open.clear()
        asyncio.get_running_loop().call_later(seconds, self.open.set)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            away_reader, away_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, away_writer), (away_reader, writer)):
            task = asyncio.create_task(self._forward(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(CHUNK):
                await self.open.wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()

    def close(self) -> None:
        """End it with all its connections."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

"""A small HTTP/1.1 server and client for the stand-ins, on the standard library alone."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

BODY_LIMIT = 65_536
"""bytes; limit of a request body (PROTOCOL)"""


@dataclass
class Request:
    method: str
    path: str
    query: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


@dataclass
class Answer:
    status: int
    body: Any = None
    close: bool = False
    """send `Connection: close` and close the connection after the response"""


Handler = Callable[[Request], Awaitable[Answer | None]]
"""returns the answer; None: the connection is closed without one"""


def encode(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves one address; every connection is persistent unless one side closes it."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await _read_head(reader)
        if head is None:
            return False
        first, headers = head
        method, target, _ = first.split(" ", 2)
        length = int(headers.get("content-length", "0"))
        if length > BODY_LIMIT:
            answer: Answer | None = Answer(413, {"error": "body over 64 KiB"}, close=True)
            await reader.readexactly(length)
        else:
            body = await reader.readexactly(length) if length else b""
            path, _, query = target.partition("?")
            pairs = [part.partition("=") for part in query.split("&") if part]
            args = {name: value for name, _, value in pairs}
            answer = await self.handler(Request(method, path, args, body))
        if answer is None:
            return False
        close = answer.close or headers.get("connection", "").lower() == "close"
        payload = b"" if answer.body is None else encode(answer.body)
        lines = [
            f"HTTP/1.1 {answer.status} Status",
            "Content-Type: application/json",
            f"Content-Length: {len(payload)}",
        ]
        if close:
            lines.append("Connection: close")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)
        await writer.drain()
        return not close


class Connection:
    """A client connection that is kept open from one request to the next."""

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self.host, self.port = host, int(port)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(
        self, method: str, path: str, body: bytes, timeout: float, connect_s: float | None = None
    ) -> tuple[int, bytes]:
        """Return status and body; status 0: no response within `timeout` seconds."""
        try:
            return await asyncio.wait_for(self._request(method, path, body, connect_s), timeout)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, b""

    async def _request(
        self, method: str, path: str, body: bytes, connect_s: float | None
    ) -> tuple[int, bytes]:
        if self.writer is None or self.writer.is_closing():
            opening = asyncio.open_connection(self.host, self.port, limit=1 << 24)
            self.reader, self.writer = await asyncio.wait_for(opening, connect_s)
        assert self.reader is not None
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        if body or method == "POST":
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)
        found = await _read_head(self.reader)
        if found is None:
            raise ConnectionResetError
        first, headers = found
        payload = await self.reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), payload


async def request_once(
    address: str, method: str, path: str, body: bytes, timeout: float, connect_s: float = 0.5
) -> tuple[int, bytes]:
    """Send one request on a connection of its own."""
    connection = Connection(address)
    try:
        return await connection.request(method, path, body, timeout, connect_s)
    finally:
        connection.close()

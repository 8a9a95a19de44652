"""HTTP/1.1 server and client on asyncio protocols, parsed by httptools."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import unquote

import httptools

from appledock import constants as c

log = logging.getLogger(__name__)

SendResponse = Callable[[int, bytes, dict[str, str] | None], None]
Handler = Callable[[str, str, str, bytes, SendResponse], None]
"""Called with method, path, query, body and the function that answers."""

_REASONS = {status.value: status.phrase for status in HTTPStatus}


def _head(status: int, length: int, headers: dict[str, str] | None, close: bool) -> bytes:
    lines = [
        f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}",
        "Content-Type: application/json",
        f"Content-Length: {length}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class ServerConnection(asyncio.Protocol):
    """One connection of a user, worker or probe."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.touched = server.loop.time()
        self.answering = False
        self.closing = False
        self.number = 0
        self.waiting: list[tuple[str, str, str, bytes, bool]] = []
        self._reset()

    def _reset(self) -> None:
        self.url = b""
        self.body = bytearray()
        self.head_size = 0
        self.receiving = False

    # asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio: the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if len(self.server.connections) >= self.server.max_connections:
            self.server.refuse(self, transport)
            return
        self.server.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by asyncio: the connection is closed."""
        self.transport = None
        self.server.connections.discard(self)
        self.server.refused_connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with what has come."""
        if self.closing:
            return
        if self in self.server.refused_connections:
            self._fail(503, "no sockets left", {"Retry-After": str(c.RETRY_AFTER_S)})
            return
        self.touched = self.server.loop.time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(400, "upgrades are not supported")
        except _TooLarge as error:
            self._fail(error.status, str(error))
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, _TooLarge):
                self._fail(cause.status, str(cause))
            else:
                self._fail(400, "malformed request")
        except (httptools.HttpParserError, UnicodeDecodeError):
            self._fail(400, "malformed HTTP")

    # httptools callbacks
    def on_message_begin(self) -> None:
        """Called by the parser: a message begins."""
        self._reset()
        self.receiving = True

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the target."""
        self.url += url
        self._grow_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with one header."""
        self._grow_head(len(name) + len(value))
        if name.lower() == b"content-length" and int(value) > c.BODY_MAX_BYTES:
            raise _TooLarge(400, f"body over {c.BODY_MAX_BYTES} bytes")

    def _grow_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > c.HEADER_MAX_BYTES:
            raise _TooLarge(431, "request head too large")

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of the body."""
        self.body += body
        if len(self.body) > c.BODY_MAX_BYTES:
            raise _TooLarge(400, f"body over {c.BODY_MAX_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Called by the parser: the message is whole."""
        method = self.parser.get_method().decode("ascii", "replace")
        path, _, query = self.url.decode("ascii").partition("?")
        if path.startswith("http://"):  # absolute form
            path = "/" + path[7:].partition("/")[2]
        request = (method, unquote(path), query, bytes(self.body), self.parser.should_keep_alive())
        self._reset()
        if len(self.waiting) >= 16:
            raise _TooLarge(400, "too many pipelined requests")
        self.waiting.append(request)
        self._next()

    def _next(self) -> None:
        if self.answering or not self.waiting or self.closing:
            return
        method, path, query, body, keep = self.waiting.pop(0)
        self.answering = True
        self.number += 1
        number = self.number

        def answer(status: int, payload: bytes, headers: dict[str, str] | None = None) -> None:
            if number == self.number and self.answering:
                self._answer(status, payload, headers, keep)

        try:
            self.server.handler(method, path, query, body, answer)
        except Exception:  # a bug in a handler must not end the process
            log.exception("handler failed for %s %s", method, path)
            answer(500, b'{"error":"internal error"}', None)

    def _answer(
        self, status: int, payload: bytes, headers: dict[str, str] | None, keep: bool
    ) -> None:
        self.answering = False
        self.touched = self.server.loop.time()
        if self.transport is None:
            return
        self.transport.write(_head(status, len(payload), headers, not keep) + payload)
        if not keep:
            self.closing = True
            self.transport.close()
        else:
            self._next()

    def _fail(self, status: int, reason: str, headers: dict[str, str] | None = None) -> None:
        self.closing = True
        if self.transport is not None:
            payload = b'{"error":"%s"}' % reason.encode()
            self.transport.write(_head(status, len(payload), headers, True) + payload)
            # Guards against answers lost to a reset: whoever is still sending a large
            # body must be read out. The sweep ends it, should it never stop.
            self.transport.write_eof()

    def sweep(self, now: float) -> None:
        """Close what is slow or idle: silent peers must not use up our sockets."""
        if self.transport is None or self.answering:
            return
        quiet = now - self.touched
        if quiet > (
            c.REQUEST_READ_TIMEOUT_S if self.receiving else c.IDLE_CONNECTION_TIMEOUT_S
        ) or (self.closing and quiet > c.REQUEST_READ_TIMEOUT_S):
            self.transport.abort()


class _TooLarge(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Server:
    """Listens and hands complete requests to one handler."""

    def __init__(self, handler: Handler, max_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.handler = handler
        self.max_connections = max_connections
        self.connections: set[ServerConnection] = set()
        self.refused_connections: set[ServerConnection] = set()
        """connections beyond the limit that still get their refusal"""
        self.refused_count = 0
        """connections turned away since the start, for the metrics"""
        self.next_warning = 0.0
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen; the port, which the system chooses if 0 is given."""
        self.listener = await self.loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=512, reuse_address=True
        )
        self._sweep()
        return int(self.listener.sockets[0].getsockname()[1])

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.timer = self.loop.call_later(c.REQUEST_READ_TIMEOUT_S / 4, self._sweep)

    def refuse(self, connection: ServerConnection, transport: asyncio.Transport) -> None:
        """Refuse a connection beyond the limit: its first request is told to come again."""
        self.refused_count += 1
        now = self.loop.time()
        if now >= self.next_warning:
            self.next_warning = now + c.CONNECTION_LIMIT_WARNING_INTERVAL_S
            log.warning(
                "no sockets left: %d connections can be served, %d were refused so far",
                self.max_connections,
                self.refused_count,
            )
        if len(self.refused_connections) >= c.REFUSED_CONNECTIONS_MAX:
            transport.abort()
            return
        self.refused_connections.add(connection)
        self.loop.call_later(c.REFUSED_CONNECTION_TIMEOUT_S, transport.abort)

    def close(self) -> None:
        """Close the connections."""
        self.timer.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class NotSent(Exception):
    """The request never left: it was certainly not executed."""


class NoAnswer(Exception):
    """The request may have been executed, or may still be."""


class ClientConnection(asyncio.Protocol):
    """One persistent connection; one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.future: asyncio.Future[tuple[int, bytes]] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio: the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by asyncio: the connection is closed."""
        self.transport = None
        if self.future is not None and not self.future.done():
            self.future.set_exception(NoAnswer("connection lost"))

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with what has come."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_message_begin(self) -> None:
        """Called by the parser: a message begins."""
        self.body = bytearray()

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Called by the parser: the message is whole."""
        status = self.parser.get_status_code()
        if status < 200:
            return
        if not self.parser.should_keep_alive():
            self.close()
        if self.future is not None and not self.future.done():
            self.future.set_result((status, bytes(self.body)))

    def give_up(self, future: asyncio.Future[tuple[int, bytes]]) -> None:
        """The request's time is over; the answer may still come."""
        if not future.done():
            future.set_exception(NoAnswer("timed out"))

    def close(self) -> None:
        """Close the connections."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        if self.future is not None and not self.future.done():
            self.future.set_exception(NoAnswer("malformed answer"))


class Client:
    """A small pool of connections to one address."""

    def __init__(self, host: str, port: int, max_connections: int = 8) -> None:
        self.host, self.port = host, port
        self.loop = asyncio.get_running_loop()
        self.idle: list[ClientConnection] = []
        self.closed = False
        self.slots = asyncio.Semaphore(max_connections)

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout: float = 5.0
    ) -> tuple[int, bytes]:
        """Status and body. Raises NotSent or NoAnswer."""
        deadline = self.loop.time() + timeout
        if self.slots.locked():
            try:
                await asyncio.wait_for(self.slots.acquire(), timeout)
            except TimeoutError:
                raise NotSent("all connections busy") from None
        else:
            await self.slots.acquire()  # at once; a timeout costs a task of its own
        try:
            connection = await self._connect(deadline)
            return await self._exchange(connection, method, path, body, deadline)
        finally:
            self.slots.release()

    async def _connect(self, deadline: float) -> ClientConnection:
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        patience = min(c.CONNECT_TIMEOUT_S, max(0.05, deadline - self.loop.time()))
        try:
            _, connection = await asyncio.wait_for(
                self.loop.create_connection(ClientConnection, self.host, self.port), patience
            )
        except (OSError, TimeoutError) as error:
            raise NotSent(str(error) or "connect timed out") from None
        return connection

    async def _exchange(
        self, connection: ClientConnection, method: str, path: str, body: bytes, deadline: float
    ) -> tuple[int, bytes]:
        if connection.transport is None:
            raise NotSent("connection lost")
        connection.future = self.loop.create_future()
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        if body or method == "POST":
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        connection.transport.write(head.encode() + b"\r\n" + body)
        # A timer of our own: `wait_for` costs a future and three passes of the loop more.
        timer = self.loop.call_at(
            max(deadline, self.loop.time() + 0.01), connection.give_up, connection.future
        )
        try:
            result = await connection.future
        except (NoAnswer, asyncio.CancelledError):
            connection.future = None
            connection.close()
            raise
        finally:
            timer.cancel()
        connection.future = None
        if connection.transport is not None and len(self.idle) < 8 and not self.closed:
            self.idle.append(connection)
        elif connection.transport is not None:
            connection.close()
        return result

    def close(self) -> None:
        """Close the pool; connections in use are closed once they are free.

        A pool put aside during a call would keep its socket for ever.
        """
        self.closed = True
        for connection in self.idle:
            connection.close()
        self.idle.clear()

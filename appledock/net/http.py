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
"""Sends the response to one request; called with status, body and additional headers."""
Handler = Callable[[str, str, str, bytes, SendResponse], None]
"""Handles a request; called with method, path, query, body and the function that responds."""

_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def _response_head(status: int, length: int, headers: dict[str, str] | None, close: bool) -> bytes:
    """Return the status line and headers of a JSON response with a body of `length` bytes."""
    lines = [
        f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, 'Unknown')}",
        "Content-Type: application/json",
        f"Content-Length: {length}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class ServerConnection(asyncio.Protocol):
    """A connection from a user, an operator, a worker or a health probe.

    Pipelined requests are handled one at a time, in the order in which they arrived.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.last_activity_at = server.loop.time()
        self.awaiting_response = False
        """whether the handler has a request that is not answered yet"""
        self.is_closing = False
        """whether further input is ignored, because the connection is about to be closed"""
        self.request_number = 0
        """number of the last request passed to the handler; responses to earlier ones are
        dropped"""
        self.pipelined_requests: list[tuple[str, str, str, bytes, bool]] = []
        """complete requests that the handler has not received: method, path, query, body and
        whether the connection is kept open afterwards"""
        self._reset_message()

    def _reset_message(self) -> None:
        self.url = b""
        self.body = bytearray()
        self.head_size = 0
        self.is_receiving = False

    # asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection, or refuse it if the server has too many."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if len(self.server.connections) >= self.server.max_connections:
            self.server.refuse(self, transport)
            return
        self.server.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forget the closed connection."""
        self.transport = None
        self.server.connections.discard(self)
        self.server.refused_connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; respond with an error to a malformed request."""
        if self.is_closing:
            return
        if self in self.server.refused_connections:
            self._send_error(503, "no sockets left", {"Retry-After": str(c.RETRY_AFTER_S)})
            return
        self.last_activity_at = self.server.loop.time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._send_error(400, "upgrades are not supported")
        except _TooLarge as error:
            self._send_error(error.status, str(error))
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, _TooLarge):
                self._send_error(cause.status, str(cause))
            else:
                self._send_error(400, "malformed request")
        except (httptools.HttpParserError, UnicodeDecodeError):
            self._send_error(400, "malformed HTTP")

    # httptools callbacks
    def on_message_begin(self) -> None:
        """Prepare for a new request."""
        self._reset_message()
        self.is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.url += url
        self._add_head_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check the size of a header and the announced size of the body."""
        self._add_head_size(len(name) + len(value))
        if name.lower() == b"content-length" and int(value) > c.BODY_MAX_BYTES:
            raise _TooLarge(400, f"body over {c.BODY_MAX_BYTES} bytes")

    def _add_head_size(self, size: int) -> None:
        self.head_size += size
        if self.head_size > c.HEADER_MAX_BYTES:
            raise _TooLarge(431, "request head too large")

    def on_body(self, body: bytes) -> None:
        """Append a part of the request body."""
        self.body += body
        if len(self.body) > c.BODY_MAX_BYTES:
            raise _TooLarge(400, f"body over {c.BODY_MAX_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Queue the complete request, and pass it on if no earlier one is pending."""
        method = self.parser.get_method().decode("ascii", "replace")
        path, _, query = self.url.decode("ascii").partition("?")
        if path.startswith("http://"):  # absolute form of the target
            path = "/" + path[7:].partition("/")[2]
        request = (method, unquote(path), query, bytes(self.body), self.parser.should_keep_alive())
        self._reset_message()
        if len(self.pipelined_requests) >= 16:
            raise _TooLarge(400, "too many pipelined requests")
        self.pipelined_requests.append(request)
        self._handle_next_request()

    def _handle_next_request(self) -> None:
        if self.awaiting_response or not self.pipelined_requests or self.is_closing:
            return
        method, path, query, body, keep_alive = self.pipelined_requests.pop(0)
        self.awaiting_response = True
        self.request_number += 1
        request_number = self.request_number

        # A handler may respond late or twice: only the first response to the current request is
        # sent.
        def send_response(
            status: int, payload: bytes, headers: dict[str, str] | None = None
        ) -> None:
            if request_number == self.request_number and self.awaiting_response:
                self._send_response(status, payload, headers, keep_alive)

        try:
            self.server.handler(method, path, query, body, send_response)
        except Exception:  # a fault in a handler must not end the process
            log.exception("handler failed for %s %s", method, path)
            send_response(500, b'{"error":"internal error"}', None)

    def _send_response(
        self, status: int, payload: bytes, headers: dict[str, str] | None, keep_alive: bool
    ) -> None:
        self.awaiting_response = False
        self.last_activity_at = self.server.loop.time()
        if self.transport is None:
            return
        self.transport.write(
            _response_head(status, len(payload), headers, not keep_alive) + payload
        )
        if not keep_alive:
            self.is_closing = True
            self.transport.close()
        else:
            self._handle_next_request()

    def _send_error(self, status: int, reason: str, headers: dict[str, str] | None = None) -> None:
        self.is_closing = True
        if self.transport is not None:
            payload = b'{"error":"%s"}' % reason.encode()
            self.transport.write(_response_head(status, len(payload), headers, True) + payload)
            # Only the sending direction is closed. Closing the socket while the client still
            # sends a large body would reset the connection, and the client could lose the
            # response. Its input is read and ignored until it closes the connection, or until
            # `close_if_timed_out` or, for a refused connection, the timer of `refuse` does.
            self.transport.write_eof()

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection if it is idle or if its request arrives too slowly.

        Otherwise silent clients would use up the sockets of this process.
        """
        if self.transport is None or self.awaiting_response:
            return
        idle_s = now - self.last_activity_at
        if idle_s > (
            c.REQUEST_READ_TIMEOUT_S if self.is_receiving else c.IDLE_CONNECTION_TIMEOUT_S
        ) or (self.is_closing and idle_s > c.REQUEST_READ_TIMEOUT_S):
            self.transport.abort()


class _TooLarge(Exception):
    """A request exceeds a limit; carries the status of the response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Server:
    """An HTTP server that passes complete requests to one handler."""

    def __init__(self, handler: Handler, max_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.handler = handler
        self.max_connections = max_connections
        self.connections: set[ServerConnection] = set()
        self.refused_connections: set[ServerConnection] = set()
        """open connections beyond the limit; their first request gets a 503 response"""
        self.refused_count = 0
        """connections refused since the start, for the metrics"""
        self.next_warning_at = 0.0
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port; for port 0 the operating system chooses one."""
        self.listener = await self.loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=512, reuse_address=True
        )
        self._close_timed_out_connections()
        return int(self.listener.sockets[0].getsockname()[1])

    def _close_timed_out_connections(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.close_if_timed_out(now)
        self.sweep_timer = self.loop.call_later(
            c.REQUEST_READ_TIMEOUT_S / 4, self._close_timed_out_connections
        )

    def refuse(self, connection: ServerConnection, transport: asyncio.Transport) -> None:
        """Refuse a connection beyond the limit.

        Its first request gets a 503 response with Retry-After. If too many refused connections
        are still open, the new connection is reset at once instead.
        """
        self.refused_count += 1
        now = self.loop.time()
        if now >= self.next_warning_at:
            self.next_warning_at = now + c.CONNECTION_LIMIT_WARNING_INTERVAL_S
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
        """Stop listening and close all connections."""
        self.sweep_timer.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class NotSent(Exception):
    """The request was not sent, so it was certainly not executed."""


class NoAnswer(Exception):
    """No response arrived: the request may have been executed, or may still be."""


class ClientConnection(asyncio.Protocol):
    """A persistent client connection that carries one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.future: asyncio.Future[tuple[int, bytes]] | None = None
        """status and body of the response to the pending request"""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, _exc: Exception | None) -> None:
        """Fail the pending request, if any."""
        self.transport = None
        if self.future is not None and not self.future.done():
            self.future.set_exception(NoAnswer("connection lost"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they are malformed."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_message_begin(self) -> None:
        """Prepare for a new response."""
        self.body = bytearray()

    def on_body(self, body: bytes) -> None:
        """Append a part of the response body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Complete the pending request, unless the response is an interim one (1xx).

        A response with `Connection: close` fails the pending request with NoAnswer, since
        `close` is called first.
        """
        status = self.parser.get_status_code()
        if status < 200:
            return
        if not self.parser.should_keep_alive():
            self.close()
        if self.future is not None and not self.future.done():
            self.future.set_result((status, bytes(self.body)))

    def time_out(self, future: asyncio.Future[tuple[int, bytes]]) -> None:
        """Fail the request with a timeout; the server may still execute it."""
        if not future.done():
            future.set_exception(NoAnswer("timed out"))

    def close(self) -> None:
        """Close the connection and fail the pending request, if any."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        if self.future is not None and not self.future.done():
            self.future.set_exception(NoAnswer("malformed answer"))


class Client:
    """An HTTP client with a small pool of connections to one address."""

    def __init__(self, host: str, port: int, max_connections: int = 8) -> None:
        self.host, self.port = host, port
        self.loop = asyncio.get_running_loop()
        self.idle: list[ClientConnection] = []
        self.closed = False
        self.slots = asyncio.Semaphore(max_connections)

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout: float = 5.0
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response.

        `timeout` is in seconds and includes the wait for a free connection.

        Raises:
            NotSent: If the request was certainly not executed.
            NoAnswer: If the request may have been executed.
        """
        deadline = self.loop.time() + timeout
        if self.slots.locked():
            try:
                await asyncio.wait_for(self.slots.acquire(), timeout)
            except TimeoutError:
                raise NotSent("all connections busy") from None
        else:
            # A slot is free, so there is no wait; `wait_for` would create a task.
            await self.slots.acquire()
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
        connect_timeout_s = min(c.CONNECT_TIMEOUT_S, max(0.05, deadline - self.loop.time()))
        try:
            _, connection = await asyncio.wait_for(
                self.loop.create_connection(ClientConnection, self.host, self.port),
                connect_timeout_s,
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
        # A plain timer: `wait_for` takes one more future and three more passes of the event loop.
        timeout_timer = self.loop.call_at(
            max(deadline, self.loop.time() + 0.01), connection.time_out, connection.future
        )
        try:
            result = await connection.future
        except (NoAnswer, asyncio.CancelledError):
            connection.future = None
            connection.close()
            raise
        finally:
            timeout_timer.cancel()
        connection.future = None
        if connection.transport is not None and len(self.idle) < 8 and not self.closed:
            self.idle.append(connection)
        elif connection.transport is not None:
            connection.close()
        return result

    def close(self) -> None:
        """Close the pool; a connection in use is closed when its request ends.

        If that connection went back to the closed pool, its socket would stay open for ever.
        """
        self.closed = True
        for connection in self.idle:
            connection.close()
        self.idle.clear()

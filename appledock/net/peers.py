"""Links between the controllers: netstrings of JSON, one way per connection."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from appledock import constants as c

log = logging.getLogger(__name__)


class Malformed(Exception):
    """The bytes are no netstring."""


def encode_netstring(payload: bytes) -> bytes:
    """`payload` as a netstring."""
    return b"%d:%b," % (len(payload), payload)


class NetstringDecoder:
    """Cuts a stream of bytes into the payloads of its netstrings."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Take in bytes; the payloads that are whole now."""
        self.buffer += data
        payloads = []
        start = 0
        while True:
            colon = self.buffer.find(b":", start, start + 10)
            if colon < 0:
                if len(self.buffer) - start >= 10:
                    raise Malformed("no length")
                break
            digits = bytes(self.buffer[start:colon])
            if not digits.isdigit() or (digits[:1] == b"0" and len(digits) > 1):
                raise Malformed("bad length")
            length = int(digits)
            if length > c.PEER_FRAME_MAX_BYTES:
                raise Malformed("frame too long")
            end = colon + 1 + length
            if len(self.buffer) <= end:
                break
            if self.buffer[end] != 0x2C:
                raise Malformed("no comma")
            payloads.append(bytes(self.buffer[colon + 1 : end]))
            start = end + 1
        del self.buffer[:start]
        return payloads


class IncomingPeerLink(asyncio.Protocol):
    """Receiving end of a link."""

    def __init__(self, deliver: Callable[[dict[str, Any]], None]) -> None:
        self.deliver = deliver
        self.decoder = NetstringDecoder()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio: the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with what has come."""
        try:
            for payload in self.decoder.feed(data):
                self.deliver(_decode(payload))
        except (Malformed, msgspec.DecodeError, UnicodeDecodeError) as error:
            log.warning("malformed message from a peer: %s", error)
            if self.transport is not None:
                self.transport.abort()


def _decode(payload: bytes) -> dict[str, Any]:
    message = msgspec.json.decode(payload)
    if not isinstance(message, dict):
        raise Malformed("not an object")
    return message


class OutgoingPeerLink(asyncio.Protocol):
    """Sending end of a link; dials again for ever."""

    def __init__(
        self, name: str, host: str, port: int, on_connected: Callable[[str], None]
    ) -> None:
        self.name, self.host, self.port = name, host, port
        self.on_connected = on_connected
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None

    async def run(self) -> None:
        """Keep the link open, for ever."""
        while True:
            if self.transport is None:
                try:
                    await asyncio.wait_for(
                        self.loop.create_connection(lambda: self, self.host, self.port),
                        c.CONNECT_TIMEOUT_S,
                    )
                except (OSError, TimeoutError) as error:
                    log.debug("link to %s: %s", self.name, error)
            await asyncio.sleep(c.PEER_RECONNECT_DELAY_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio: the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.on_connected(self.name)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by asyncio: the connection is closed."""
        self.transport = None

    def send(self, payload: bytes) -> None:
        """Write to the peer, if the link is open."""
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > c.PEER_BUFFER_MAX_BYTES:
            # Guards against a hung or cut peer filling our memory.
            self.transport.abort()
            self.transport = None
            return
        self.transport.write(payload)

"""Connections between the controllers.

Messages are JSON objects, each framed as a netstring. A connection carries messages in one
direction only: each controller opens one to each of its peers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from appledock import constants as c

log = logging.getLogger(__name__)


class Malformed(Exception):
    """The received bytes are not a netstring with a JSON object."""


def encode_netstring(payload: bytes) -> bytes:
    """Return the payload as a netstring."""
    return b"%d:%b," % (len(payload), payload)


class NetstringDecoder:
    """Splits a stream of bytes into the payloads of its netstrings."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the payloads that are now complete."""
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
    """The receiving end of a connection from a peer."""

    def __init__(self, on_message: Callable[[dict[str, Any]], None]) -> None:
        self.on_message = on_message
        self.decoder = NetstringDecoder()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass on complete messages; close the connection if one is malformed."""
        try:
            for payload in self.decoder.feed(data):
                self.on_message(_decode(payload))
        except (Malformed, msgspec.DecodeError, UnicodeDecodeError) as error:
            log.warning("malformed message from a peer: error=%s", error)
            if self.transport is not None:
                self.transport.abort()


def _decode(payload: bytes) -> dict[str, Any]:
    message = msgspec.json.decode(payload)
    if not isinstance(message, dict):
        raise Malformed("not an object")
    return message


class OutgoingPeerLink(asyncio.Protocol):
    """The sending end of a connection to a peer, which is reopened whenever it is lost."""

    def __init__(
        self, name: str, host: str, port: int, on_connected: Callable[[str], None]
    ) -> None:
        self.name, self.host, self.port = name, host, port
        self.on_connected = on_connected
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None

    async def run(self) -> None:
        """Connect, and reconnect whenever the connection is lost; never returns."""
        while True:
            if self.transport is None:
                try:
                    await asyncio.wait_for(
                        self.loop.create_connection(lambda: self, self.host, self.port),
                        c.CONNECT_TIMEOUT_S,
                    )
                except (OSError, TimeoutError) as error:
                    log.debug("connection to peer failed: peer=%s error=%s", self.name, error)
            await asyncio.sleep(c.PEER_RECONNECT_DELAY_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the new connection to `on_connected`."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.on_connected(self.name)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forget the closed connection; `run` opens a new one."""
        self.transport = None

    def send(self, payload: bytes) -> None:
        """Send encoded messages to the peer; without a connection they are dropped."""
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > c.PEER_BUFFER_MAX_BYTES:
            # The peer does not read, because it hangs or is partitioned from this controller.
            # Without this limit, the messages that wait to be sent to it would use up the memory
            # of this process.
            self.transport.abort()
            self.transport = None
            return
        self.transport.write(payload)

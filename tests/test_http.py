"""The HTTP transport over real loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from appledock import constants as c
from appledock.net.http import Client, NoAnswer, NotSent, SendResponse, Server


def handler(method: str, path: str, query: str, body: bytes, answer: SendResponse) -> None:
    if path == "/silent":
        return
    if path == "/slow":
        asyncio.get_running_loop().call_later(0.05, answer, 200, b"slow", None)
        return
    answer(200, b"%s %s %s %d" % (method.encode(), path.encode(), query.encode(), len(body)), None)


async def raw(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return answer


def serve(body: Callable[[int], Awaitable[None]]) -> None:
    async def start() -> None:
        server = Server(handler, 100)
        port = await server.start("127.0.0.1", 0)
        try:
            await body(port)
        finally:
            server.close()

    asyncio.run(start())


def test_client_and_server_keep_a_connection() -> None:
    async def body(port: int) -> None:
        client = Client("127.0.0.1", port)
        assert await client.request("GET", "/a/b?x=1") == (200, b"GET /a/b x=1 0")
        assert await client.request("POST", "/a", b"xyz") == (200, b"POST /a  3")
        assert len(client.idle) == 1
        with pytest.raises(NoAnswer):
            await client.request("GET", "/silent", timeout=0.1)
        assert await client.request("GET", "/again") == (200, b"GET /again  0")

    serve(body)


def test_a_pool_put_aside_during_a_call_keeps_no_socket() -> None:
    """Calls to more machines than connections are kept for: each such pool lost one."""

    async def body(port: int) -> None:
        client = Client("127.0.0.1", port)
        call = asyncio.create_task(client.request("GET", "/slow"))
        await asyncio.sleep(0.02)
        client.close()
        assert (await call)[1] == b"slow" and client.idle == []

    serve(body)


def test_refused_connection_was_certainly_not_executed() -> None:
    async def body(port: int) -> None:
        with pytest.raises(NotSent):
            await Client("127.0.0.1", 1).request("GET", "/")

    serve(body)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (c.BODY_MAX_BYTES + 1), b"400"),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"
            + b"x" * 65537
            + b"\r\n",
            b"400",
        ),
        (b"GET /%s HTTP/1.1\r\n\r\n" % (b"x" * (c.HEADER_MAX_BYTES + 1)), b"431"),
        (b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", b"200"),
    ],
)
def test_bad_input_gets_its_status_and_the_connection_closes(data: bytes, status: bytes) -> None:
    async def body(port: int) -> None:
        answer = await raw(port, data)
        assert answer.split(b" ")[1] == status
        assert await Client("127.0.0.1", port).request("GET", "/") == (200, b"GET /  0")

    serve(body)


def test_a_body_too_large_is_answered_400_however_large() -> None:
    """413 is a status that users repeat for a minute, and so is a reset connection: the
    answer was lost when the socket was closed before the body had been read."""

    async def body(port: int) -> None:
        for size in (c.BODY_MAX_BYTES + 1, 300_000, 3_000_000):
            answer = await raw(
                port,
                b"POST /v2/runs HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (size, b"x" * size),
            )
            assert answer.split(b" ")[1] == b"400" and b"body over" in answer

    serve(body)


def test_a_sender_that_never_stops_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(c, "REQUEST_READ_TIMEOUT_S", 0.2)

    async def body(port: int) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"nonsense\r\n\r\n")
        with pytest.raises(ConnectionError):
            for _ in range(100):
                await asyncio.sleep(0.02)
                writer.write(b"x" * 1000)
                await writer.drain()

    serve(body)

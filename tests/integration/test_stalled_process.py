"""Transfers of a process that was paused."""

import asyncio
import contextlib
import socket
import threading
import time

import aiohttp

from swiftstile import progress

_STALL_TIMEOUT_S = 0.2


def test_bytes_received_during_a_pause_count_as_progress():
    # The sender pauses for at most 50 ms, but the reader's process is blocked
    # for 0.3 s, which is longer than the stall timeout.
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]

    def send():
        connection, _ = listener.accept()
        connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n")
        with contextlib.suppress(OSError), connection:
            for _ in range(20):
                connection.sendall(b"x" * 1000)
                time.sleep(0.05)

    async def scenario():
        loop = asyncio.get_running_loop()
        url = f"http://127.0.0.1:{port}/"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            loop.call_later(0.22, time.sleep, 0.3)
            body = await progress.read_body(answer.content, _STALL_TIMEOUT_S)
        assert len(body) == 20_000

    sender = threading.Thread(target=send, daemon=True)
    sender.start()
    try:
        asyncio.run(scenario())
    finally:
        listener.close()

"""1.7 times the usual callers fetch long answers over slow lines."""

import asyncio
import hashlib
import pathlib
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import parts2

ZONES = ("lalitpur-hall", "bhaktapur-hall", "kirtipur-hall")
# Usual callers of one zone, and the largest dose of `burst`.
USUAL, BURST = 60, 1.7
# Under one Mbit/s, and segments as on Ethernet: loopback's are 64 kB.
BYTES_PER_S = 80_000
SEGMENT_BYTES, WINDOW_BYTES = 1400, 16384
ANSWER_BYTES = 1_000_000
# The rule allows so many.
ALLOWED = 3


def _report(request: parts2.Request) -> tuple[float, bytes]:
    """Returns the work and the answer for /report/BYTES."""
    size = int(request.target.rpartition("/")[2])
    seed = hashlib.sha256(request.headers["x-attempt-id"].encode()).digest()
    return 0.1, (seed * (size // 32 + 1))[:size]


class Caller:
    """Keeps a channel and reads at the speed of its line."""

    def __init__(self, gateway, record):
        self.attempt = ""
        self.outcome = ""
        self._gateway, self._record = gateway, record
        self._sock = socket.socket()
        self._unread = b""

    async def open(self) -> bool:
        """Opens the channel and uses it once."""
        loop, sock = asyncio.get_running_loop(), self._sock
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        await loop.sock_connect(sock, self._gateway.front)
        return await self.call(100) == "whole"

    def close(self) -> None:
        self._sock.close()

    async def call(self, size: int) -> str:
        """Sends a request that runs once; returns what became of it."""
        self.attempt = parts2.new_attempt()
        self._record.note(f"{self.attempt}: sent, {size} bytes wanted")
        path = f"/report/{size}"
        data = parts2.request_bytes("POST", path, self.attempt, 15000)
        received = bytearray()
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, data)
            head = await self._read_head()
            status = int(head.split(" ")[1])
            self.outcome = f"status {status}"
            if status == 200:
                await self._read_body(received, size)
                signature = head.partition("x-server-signature: ")[2]
                wanted = hashlib.sha256(received).hexdigest()[:16]
                is_whole = signature.startswith(wanted)
                self.outcome = "whole" if is_whole else "other bytes"
        except OSError as error:
            self.outcome = f"cut: {error!r}"
        self._record.note(
            f"{self.attempt}: {len(received)} bytes of the answer's body of"
            f" {size}: {self.outcome}"
        )
        return self.outcome

    async def _receive(self) -> bytes:
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self._sock, 16384)
        if not data:
            raise ConnectionResetError("the channel ended")
        await asyncio.sleep(len(data) / BYTES_PER_S)
        return data

    async def _read_head(self) -> str:
        data = b""
        while b"\r\n\r\n" not in data:
            data += await self._receive()
        head, _, self._unread = data.partition(b"\r\n\r\n")
        return head.decode("latin-1").lower()

    async def _read_body(self, received: bytearray, size: int) -> None:
        received += self._unread
        while len(received) < size:
            received += await self._receive()


async def main(record: parts2.Record, scratch: pathlib.Path) -> int:
    store = parts2.Store()
    await store.start()
    route = parts2.entry(
        "routes",
        "r-report",
        host="a.example",
        prefix="/report/",
        kind="unsafe",
        timeout="12000ms",
        objective="2000ms",
        priority=1,
        service="reports",
        max_attempts=2,
    )
    store.put("op", "config", parts2.config(3, route, parts2.service("reports")))
    targets = [
        parts2.Target(store, record, f"i-{n}", "reports", zone, _report, 100)
        for n, zone in enumerate(ZONES * 2)
    ]
    gateways = [
        parts2.Gateway(n, zone, store, scratch, record)
        for n, zone in enumerate(ZONES)
    ]
    try:
        for target in targets:
            await target.start()
        for gateway in gateways:
            await gateway.start()
        if not all([await gateway.until_ready() for gateway in gateways]):
            return parts2.UNUSABLE
        await asyncio.sleep(1.5)
        return await _measure(record, gateways[0], targets)
    finally:
        for gateway in gateways:
            await gateway.kill()
        for target in targets:
            target.exit()
        store.close()


def _memory_mb(gateway) -> float:
    """Returns the memory that a gateway's process holds."""
    status = pathlib.Path(f"/proc/{gateway.process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


async def _measure(record, gateway, targets) -> int:
    count = int(USUAL * BURST) if parts2.has_trouble() else USUAL
    callers = [Caller(gateway, record) for _ in range(count)]
    if not all(await asyncio.gather(*(caller.open() for caller in callers))):
        return parts2.UNUSABLE
    calls = [caller.call(ANSWER_BYTES) for caller in callers]
    async with asyncio.timeout(40):
        await asyncio.gather(*calls)
    for caller in callers:
        caller.close()
    ended = {name: how for t in targets for name, how in t.ended.items()}
    ran = {attempt for target in targets for attempt in target.runs}
    lost = [
        caller
        for caller in callers
        if caller.attempt in ran and caller.outcome.startswith("cut")
    ]
    for caller in lost:
        record.note(
            f"{caller.attempt}: LOST; at its target:"
            f" {ended.get(caller.attempt)}"
        )
    refused = sum(caller.outcome.startswith("status") for caller in callers)
    text = (
        f"{count} requests: {len(lost)} were run and their channels closed"
        f" without a whole answer, {refused} refused; most memory of the"
        f" gateway {_memory_mb(gateway):.0f} MB"
    )
    record.note(text)
    print(text)
    return parts2.BROKEN if len(lost) > ALLOWED else parts2.HELD


if __name__ == "__main__":
    sys.exit(parts2.run_case(main, FOLDER))

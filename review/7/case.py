"""A target reads a long upload slowly, and the gateway gets SIGTERM."""

import asyncio
import contextlib
import hashlib
import pathlib
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import parts2

ZONES = ("lalitpur-hall", "bhaktapur-hall", "kirtipur-hall")
BODY_BYTES = 16 << 20
# The target takes a first part of the body, stores it, and so on: how much it
# reads, and when, in seconds from the start of its work.
PART_BYTES, PAUSE_S = 1 << 20, 1.3
READS = (
    *((number * PAUSE_S, PART_BYTES) for number in range(4)),
    (4 * PAUSE_S - 0.6, BODY_BYTES),
)
# The uploads begin one after the other.
UPLOADS, GAP_S = 4, 0.2
GRACE_S = 6.0


class Archive(parts2.Target):
    """A sound target that stores a recording while it reads it."""

    async def start(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=sock)
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        self._beats = asyncio.create_task(self._beat())

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            self._record.note(f"{self.name}: a channel was closed")
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        """Serves one request; returns whether the channel is kept."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        line, *fields = head.decode("latin-1").split("\r\n")
        named = (field.partition(":") for field in fields)
        headers = {name.lower(): value.strip() for name, _, value in named}
        attempt = headers.get("x-attempt-id", "")
        answer = {"X-Instance-Id": self.name}
        if not line.startswith("POST "):
            writer.write(parts2.answer(200, answer))
            return True
        answer["X-Attempt-Id"] = attempt
        self.runs.append(attempt)
        self._record.note(f"{self.name}: works on {attempt}")
        started, left = time.monotonic(), int(headers["content-length"])
        digest = hashlib.sha256()
        try:
            for at_s, count in READS:
                pause_s = started + at_s - time.monotonic()
                await asyncio.sleep(max(0.0, pause_s))
                count = min(count, left)
                left -= count
                while count:
                    piece = await reader.read(min(count, 1 << 16))
                    if not piece:
                        raise ConnectionResetError("closed")
                    digest.update(piece)
                    count -= len(piece)
                self._record.note(
                    f"{self.name}: {attempt}: {left} bytes are still to come"
                )
        except (ConnectionError, asyncio.IncompleteReadError):
            self.ended[attempt] = "channel closed"
            self._record.note(
                f"{self.name}: the channel of {attempt} was closed while it"
                " worked on it"
            )
            raise
        body = digest.hexdigest().encode()
        answer[parts2.SIGNATURE] = hashlib.sha256(body).hexdigest()[:16]
        answer["X-Instance-Load"] = "0,0,3"
        writer.write(parts2.answer(200, answer, body))
        await writer.drain()
        self.ended[attempt] = "answered"
        return True


async def main(record: parts2.Record, scratch: pathlib.Path) -> int:
    store = parts2.Store()
    await store.start()
    route = parts2.entry(
        "routes",
        "r-upload",
        host="a.example",
        prefix="/upload/",
        kind="upload",
        timeout="8000ms",
        objective="4000ms",
        priority=1,
        service="fieldbook",
        max_attempts=2,
    )
    services = parts2.service("fieldbook")
    store.put("op", "config", parts2.config(3, route, services))
    targets = [
        Archive(store, record, f"i-{n}", "fieldbook", zone, None)
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


class Upload:
    """One caller's upload; it sends as fast as the gateway reads."""

    def __init__(self, gateway, record):
        self.attempt = parts2.new_attempt()
        self.outcome = ""
        self.is_sent = False
        self.ended_at = 0.0
        self._gateway, self._record = gateway, record

    async def run(self) -> None:
        body = hashlib.sha256(self.attempt.encode()).digest()
        body *= BODY_BYTES // len(body)
        reader, writer = await asyncio.open_connection(*self._gateway.front)
        with contextlib.closing(writer):
            sending = asyncio.create_task(self._send(writer, body))
            try:
                async with asyncio.timeout(9):
                    status, _, answer = await parts2.read_answer(reader)
                wanted = hashlib.sha256(body).hexdigest().encode()
                self.outcome = f"{status}"
                if status == 200 and answer != wanted:
                    self.outcome = "200 with other bytes"
                if status != 200:
                    self.outcome += f" {answer[:200]!r}"
            except (OSError, asyncio.IncompleteReadError) as error:
                self.outcome = f"the channel ended: {error!r}"
            except TimeoutError:
                self.outcome = "no answer in time"
            sending.cancel()
        self.ended_at = time.monotonic()
        self._record.note(f"{self.attempt}: {self.outcome}")

    async def _send(self, writer, body: bytes) -> None:
        path = "/upload/recording"
        data = parts2.request_bytes("POST", path, self.attempt, 9000, body)
        with contextlib.suppress(OSError):
            for start in range(0, len(data), 1 << 16):
                writer.write(data[start : start + (1 << 16)])
                await writer.drain()
            self.is_sent = True
            self._record.note(f"{self.attempt}: sent")


async def _measure(record, gateway, targets) -> int:
    uploads = [Upload(gateway, record) for _ in range(UPLOADS)]
    calls = []
    for upload in uploads:
        calls.append(asyncio.create_task(upload.run()))
        await asyncio.sleep(GAP_S)
    stopped = time.monotonic()
    if parts2.has_trouble():
        gateway.signal(signal.SIGTERM)
    await asyncio.wait(calls, timeout=12)
    ran = {attempt for target in targets for attempt in target.runs}
    lost = [
        upload
        for upload in uploads
        if upload.attempt in ran
        and not upload.outcome.startswith("200")
        and upload.ended_at - stopped < GRACE_S * 5 / 6
    ]
    for upload in lost:
        record.note(
            f"{upload.attempt}: LOST, its target was at work on it"
            f" {upload.ended_at - stopped:.3f} s after SIGTERM"
        )
    print(
        f"{len(lost)} of {UPLOADS} uploads broken off:"
        f" {[upload.outcome[:60] for upload in uploads]}"
    )
    return parts2.BROKEN if lost else parts2.HELD


if __name__ == "__main__":
    sys.exit(parts2.run_case(main, FOLDER))

"""A read is sent on a channel behind an upload that isn't answered yet."""

import asyncio
import os
import pathlib
import sys
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import loopback  # noqa: E402

IS_PIPELINED = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 6
# Bytes of each client's uploads, in this order; those of the sites have 60,000
# on average and 360,000 at most.
UPLOADS = (150_000, 200_000, 250_000, 300_000) * 3
TIMEOUT_S = 4.0
# CONFIG: an answer is due half a second after the timeout of the route.
ANSWER_DUE_S = TIMEOUT_S + 0.5
# How long a client listens before it gives up, to show that none comes.
LISTENS_S = 8.0


def config() -> dict:
    def route(name: str, prefix: str, kind: str, service: str) -> dict:
        return loopback.entry(
            "routes",
            name,
            host="jepu9.example",
            prefix=prefix,
            kind=kind,
            timeout=f"{TIMEOUT_S:.0f}s",
            objective="300ms",
            priority=1,
            service=service,
            max_attempts=2,
        )

    return {
        "version": "0000000c",
        "resources": [
            route("dossier-uploads", "/lepu270/", "upload", "depot"),
            route("lot-reads", "/fena31/", "safe", "catalogue"),
            loopback.entry("services", "depot", health_path="/health"),
            loopback.entry("services", "catalogue", health_path="/health"),
            loopback.entry("limits", "", idle_timeout="15000ms"),
        ],
    }


class Caller:
    """One client; notes how long its reads wait for an answer."""

    def __init__(self, number: int, port: int, record: loopback.Record):
        self._number, self._record = number, record
        self._client = loopback.Client(port)
        # Waits of the reads that the gateway's process had taken from its
        # socket by the time of the route's timeout, and how many it hadn't.
        self.waits: list[float] = []
        self.not_taken = 0
        self.uploads = 0

    async def run(self) -> None:
        try:
            for size in UPLOADS:
                if not self._client.is_open:
                    await self._client.open()
                await self._round(size)
                if sum(wait >= LISTENS_S for wait in self.waits) == 2:
                    return
        finally:
            self._client.close()

    async def _round(self, size: int) -> None:
        client, record = self._client, self._record
        deadline_ms = int(TIMEOUT_S * 1000)
        upload, read = (uuid.uuid4().hex[:16] for _ in range(2))
        upload_head = loopback.head_of(
            "POST", "/lepu270/2f", upload, deadline_ms, 7, size
        )
        read_head = loopback.head_of(
            "GET", "/fena31/7c", read, deadline_ms, 7, None
        )
        client.write(upload_head)
        await asyncio.sleep(0.002)
        body = b"x" * size
        record.add("sent", upload, client=self._number, bytes=size)
        if IS_PIPELINED:
            sent_at = loopback.now()
            record.add("sent", read, client=self._number, behind=upload)
            client.write(body + read_head)
        else:
            client.write(body)
        status, headers, _ = await client.receive()
        record.add("answered", upload, status=status)
        if status != "200":
            raise loopback.Unable(f"upload answered {status}")
        self.uploads += 1
        if headers.get("connection", "").lower() == "close":
            # The read counts as not read by the gateway.
            client.close()
            return
        if not IS_PIPELINED:
            sent_at = loopback.now()
            record.add("sent", read, client=self._number)
            client.write(read_head)
        receiving = asyncio.create_task(client.receive())
        unread = 0
        try:
            await asyncio.wait(
                [receiving], timeout=sent_at + TIMEOUT_S - loopback.now()
            )
            if not receiving.done():
                unread = client.unread_by_gateway()
                await asyncio.wait(
                    [receiving], timeout=sent_at + LISTENS_S - loopback.now()
                )
            status = receiving.result()[0] if receiving.done() else "none"
        finally:
            receiving.cancel()
        took_s = loopback.now() - sent_at
        if unread:
            self.not_taken += 1
        else:
            self.waits.append(took_s)
        record.add(
            "answered",
            read,
            status=status,
            took_s=f"{took_s:.3f}",
            unread_by_gateway=unread,
            reached_a_target="reached" in record.events[read],
        )
        if status != "200":
            client.close()


async def play(record: loopback.Record) -> int:
    targets = [
        (service, zone, 2, 0.07, False)
        for service in ("depot", "catalogue")
        for zone in ("z1", "z2", "z3")
    ]
    async with loopback.Site(
        record, config(), targets, ("z1", "z2", "z3")
    ) as site:
        callers = [
            Caller(
                number,
                site.gateways[number % len(site.gateways)].front,
                record,
            )
            for number in range(CLIENTS)
        ]
        await asyncio.gather(*(caller.run() for caller in callers))
    waits = [wait for caller in callers for wait in caller.waits]
    at_timeout = sum(wait >= TIMEOUT_S for wait in waits)
    overdue = sum(wait >= ANSWER_DUE_S for wait in waits)
    never = sum(wait >= LISTENS_S for wait in waits)
    summary = {
        "uploads_answered": sum(caller.uploads for caller in callers),
        "reads": len(waits),
        "not_taken_by_the_gateway": sum(c.not_taken for c in callers),
        "unanswered_at_timeout": at_timeout,
        "unanswered_half_a_second_later": overdue,
        "unanswered_after_8_s": never,
    }
    record.add("result", **summary)
    print(summary)
    is_broken = overdue > 0 and 2 * overdue > at_timeout
    return loopback.BROKEN if is_broken else loopback.HELD


if __name__ == "__main__":
    sys.exit(loopback.run_case(FOLDER, play))

"""Uploads and submissions follow each other on kept channels."""

import asyncio
import os
import pathlib
import sys
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import loopback  # noqa: E402

KEEPS_CHANNELS = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 8
ROUNDS = 10
# Bytes; the sites' uploads have 60,000 on average and 360,000 at most.
UPLOADS = (90_000, 100_000, 110_000, 120_000)
SUBMISSION_BYTES = 4_000
DEADLINE_MS = 4_000
# Every other client waits so long between an answer and its next request.
PAUSE_S = 0.1
# DENIED: more than 5 + one in 500 of all requests.
DENIED_ALLOWED, DENIED_SHARE = 5, 1 / 500


def config() -> dict:
    def route(name: str, prefix: str, kind: str, service: str) -> dict:
        return loopback.entry(
            "routes",
            name,
            host="jepu9.example",
            prefix=prefix,
            kind=kind,
            timeout=f"{DEADLINE_MS}ms",
            objective="400ms",
            priority=1,
            service=service,
            max_attempts=2,
        )

    return {
        "version": "0000000c",
        "resources": [
            route("ledger-upload", "/lepu270/", "upload", "docvault-svc"),
            route("masterfile-submit", "/fena31/", "unsafe", "filing-svc"),
            loopback.entry("services", "docvault-svc", health_path="/health"),
            loopback.entry("services", "filing-svc", health_path="/health"),
            loopback.entry("limits", "", idle_timeout="15000ms"),
        ],
    }


class Caller:
    """One client; counts what is wrong with its answers."""

    def __init__(self, number: int, port: int, record: loopback.Record):
        self._number, self._record = number, record
        self._client = loopback.Client(port)
        self.requests = self.denied = self.unasked = self.other = 0
        self.not_run = 0

    async def run(self) -> None:
        try:
            for number in range(ROUNDS):
                size = UPLOADS[number % len(UPLOADS)]
                await self._ask("/lepu270/2f", size)
                if self._number % 2:
                    await asyncio.sleep(PAUSE_S)
                await self._ask("/fena31/7c", SUBMISSION_BYTES)
        finally:
            self._client.close()

    async def _ask(self, path: str, size: int) -> None:
        client, record = self._client, self._record
        if KEEPS_CHANNELS and client.unread:
            # No request is waiting on the channel.
            self.unasked += 1
            record.add("unasked", client=self._number, got=client.unread[:40])
        if not client.is_open or not KEEPS_CHANNELS:
            client.close()
            await client.open()
        attempt = uuid.uuid4().hex[:16]
        sent_at = loopback.now()
        # The head and the body are written one after the other.
        client.write(
            loopback.head_of("POST", path, attempt, DEADLINE_MS, 7, size)
        )
        await asyncio.sleep(0.002)
        client.write(b"x" * size)
        record.add("sent", attempt, client=self._number, bytes=size)
        status, headers, arrived = await client.receive()
        self.requests += 1
        is_own = "x-server-signature" not in headers
        if (
            status.startswith("4")
            and is_own
            and status
            not in (
                "408",
                "421",
                "429",
            )
        ):
            self.denied += 1
            self.not_run += "run" not in record.events[attempt]
        elif status != "200":
            self.other += 1
        record.add(
            "answered",
            attempt,
            status=status,
            echoed=headers.get("x-attempt-id", "-"),
            after_s=f"{arrived - sent_at:.4f}",
        )
        if headers.get("connection", "").lower() == "close":
            client.close()


async def play(record: loopback.Record) -> int:
    targets = [
        (service, zone, 3, 0.02, False)
        for service in ("docvault-svc", "filing-svc")
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
    requests = sum(caller.requests for caller in callers)
    denied = sum(caller.denied for caller in callers)
    unasked = sum(caller.unasked for caller in callers)
    not_run = sum(caller.not_run for caller in callers)
    other = sum(caller.other for caller in callers)
    allowed = DENIED_ALLOWED + DENIED_SHARE * requests
    summary = {
        "requests": requests,
        "own_4xx": denied,
        "allowed": round(allowed, 1),
        "of_these_not_run": not_run,
        "answers_with_no_request_waiting": unasked,
        "other_failures": other,
    }
    record.add("result", **summary)
    print(summary)
    is_broken = unasked > 0 and denied > allowed
    return loopback.BROKEN if is_broken else loopback.HELD


if __name__ == "__main__":
    sys.exit(loopback.run_case(FOLDER, play))

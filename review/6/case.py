"""A gateway is stopped while requests wait in it for slots of their owners."""

import asyncio
import os
import pathlib
import sys
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import loopback  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.0
# LOST: the end of a channel counts later than this after the last byte.
LOSS_SLACK_S = 0.2
TIMEOUT_S = 8.0
WORK_S, SLOTS = 0.39, 3
# Each client asks for a key of its own; the keys are spread evenly.
CLIENTS = 72
# From SIGTERM to the requests. The rule excuses those at which a target is still
# at work at the end if they were sent no later than 3 s after SIGTERM.
SENT_AFTER_S = 2.5


def config() -> dict:
    return {
        "version": "0000000c",
        "resources": [
            loopback.entry(
                "routes",
                "valve-action",
                host="jepu9.example",
                prefix="/lepu270/",
                kind="unsafe",
                timeout=f"{TIMEOUT_S:.0f}s",
                objective="1293ms",
                priority=1,
                service="heatdesk",
                max_attempts=2,
            ),
            loopback.entry(
                "services",
                "heatdesk",
                health_path="/health",
                sharded=True,
                warm="3s",
            ),
            loopback.entry("limits", "", idle_timeout="15000ms"),
        ],
    }


class Caller:
    """One client with a kept channel."""

    def __init__(self, number: int, port: int, record: loopback.Record):
        self._number, self._record = number, record
        self._client = loopback.Client(port)
        self._key = number * loopback.KEYS // CLIENTS

    async def open(self) -> None:
        await self._client.open()

    def close(self) -> None:
        self._client.close()

    async def ask(self) -> tuple[str, str, float]:
        """Returns the attempt, how it ended and after how long."""
        attempt = uuid.uuid4().hex[:16]
        deadline_ms = int(TIMEOUT_S * 1000)
        sent_at = loopback.now()
        self._client.write(
            loopback.head_of(
                "POST", "/lepu270/2f", attempt, deadline_ms, self._key, 300
            )
            + b"x" * 300
        )
        self._record.add("sent", attempt, client=self._number)
        status, _, _ = await self._client.receive()
        took_s = loopback.now() - sent_at
        self._record.add(
            "answered", attempt, status=status, took_s=f"{took_s:.3f}"
        )
        return attempt, status, took_s


async def play(record: loopback.Record) -> int:
    targets = [("heatdesk", zone, SLOTS, WORK_S, True) for zone in ("z1", "z2")]
    async with loopback.Site(
        record, config(), targets, ("z1", "z2", "z3")
    ) as site:
        await site.wait_for_owner(0)
        stopped = site.gateways[0]
        callers = [
            Caller(number, stopped.front, record) for number in range(CLIENTS)
        ]
        try:
            answers = await ask_around_stop(site, stopped, callers, record)
        finally:
            for caller in callers:
                caller.close()
        return judge(record, answers)


async def ask_around_stop(site, stopped, callers, record):
    for caller in callers:
        await caller.open()
    # Each channel carries a request, and is kept.
    for start in range(0, CLIENTS, 6):
        for _, status, _ in await asyncio.gather(
            *(caller.ask() for caller in callers[start : start + 6])
        ):
            if status != "200":
                raise loopback.Unable(f"{status} before the stop")
    stopped_at = loopback.now()
    if HAS_TROUBLE:
        record.add("SIGTERM", gateway=stopped.name)
        stopped.terminate()
    await asyncio.sleep(SENT_AFTER_S)
    answers = await asyncio.gather(*(caller.ask() for caller in callers))
    record.add("end", after_s=f"{loopback.now() - stopped_at:.3f}")
    return answers


def judge(record: loopback.Record, answers) -> int:
    lost, excused, by_status = [], 0, {}
    for attempt, status, took_s in answers:
        by_status[status] = by_status.get(status, 0) + 1
        if status.isdigit():
            continue
        if "run" in record.events[attempt]:
            # The target was at work on it in the last sixth of the grace.
            excused += 1
        elif status == "closed" and LOSS_SLACK_S < took_s < TIMEOUT_S:
            # A process that ends with unread bytes resets the channel, so
            # that it had read the request.
            lost.append(attempt)
            record.add("LOST", attempt, took_s=f"{took_s:.3f}")
    passed_on = sum("reached" in record.events[one] for one in lost)
    summary = {
        "answers": by_status,
        "lost": len(lost),
        "of_these_in_the_queue_of_a_target": passed_on,
        "excused": excused,
    }
    record.add("result", **summary)
    print(summary)
    return loopback.BROKEN if lost else loopback.HELD


if __name__ == "__main__":
    sys.exit(loopback.run_case(FOLDER, play))

"""Lets targets repeat some answers late while they reject some requests."""

import collections
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import http1  # noqa: E402
import site_processes as site  # noqa: E402
import store as store_lib  # noqa: E402
import targets  # noqa: E402

TARGETS = 7
PER_S = 250.0
DEADLINE_MS = 8574
BODY = b"valve 17 open\n" * 20
LOAD_S = 82.0
# Spans of the load, in seconds, in which some targets repeat some answers late,
# and in which all targets reject a part of the requests.
SHED_SPANS = [(2.0 + 11.5 * n, 10.5 + 11.5 * n) for n in range(7)]
LATE_SPANS = [(start + 1.5, start + 6.5) for start, _ in SHED_SPANS]
SHARE_OF_TARGETS, SHARE_OF_ANSWERS = 0.6, 0.03
SHED_SHARE_OF_REQUESTS = 0.55
PROMISES = (408, 421, 429, 503)


def _is_within(spans: list[tuple[float, float]]) -> bool:
    now = time.monotonic()
    return any(start <= now < end for start, end in spans)


class FaultyTarget(targets.Target):
    """Rejects some requests, and repeats some answers late.

    An extra answer is sent when the next one is expected on its channel.

    Attributes:
        late_spans, shed_spans: When, on the monotonic clock.
        repeated: Attempts whose answers were sent a second time.
    """

    late_spans: list[tuple[float, float]] = []
    shed_spans: list[tuple[float, float]] = []
    repeated: list[str] = []
    repeats = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._late_by_channel: dict[object, tuple[str, bytes]] = {}

    async def work(self, request, reader, writer) -> bool:
        """See base class."""
        late = self._late_by_channel.pop(writer, None)
        if late is not None:
            attempt, data = late
            self.repeated.append(attempt)
            writer.write(data)
            await writer.drain()
        refused = self.refusal(request)
        if refused is None:
            refused = self._shed(request)
        data = refused
        if data is None:
            data = http1.response(*await self.run(request))
        writer.write(data)
        await writer.drain()
        if (
            self.repeats
            and _is_within(self.late_spans)
            and self.random.random() < SHARE_OF_ANSWERS
        ):
            attempt = request.headers["x-attempt-id"]
            self._late_by_channel[writer] = attempt, data
        return True

    def _shed(self, request) -> bytes | None:
        if (
            not _is_within(self.shed_spans)
            or self.random.random() >= SHED_SHARE_OF_REQUESTS
        ):
            return None
        headers = self.headers(request.headers["x-attempt-id"])
        return http1.response(503, headers | {"X-Not-Executed": "1"})


async def case(record: site.Record, folder: str) -> int:
    """Returns the exit status."""
    store = store_lib.Store()
    await store.start()
    store.put(
        "op",
        "config",
        site.config(
            site.route(
                "r-valves",
                "/xapu221/",
                "unsafe",
                "heatdesk",
                timeout="4000ms",
                objective="1293ms",
            ),
            site.service("heatdesk", sharded=True, warm="3s", grants="call"),
        ),
    )
    runs: list[targets.Run] = []
    started: list[FaultyTarget] = []
    for number in range(TARGETS):
        zone = site.ZONES[number % len(site.ZONES)]
        target = FaultyTarget(
            number, "heatdesk", zone, store, runs, (0.03, 0.09), True
        )
        target.random = random.Random()
        await target.start()
        started.append(target)
    for target in started[: round(SHARE_OF_TARGETS * TARGETS)]:
        target.repeats = True
    gateways = [site.Gateway(number, store, folder) for number in range(3)]
    client = site.Client(gateways, random.randrange(1 << 30))

    async def call() -> site.Answer:
        key = random.randrange(targets.KEYS)
        return await client.call(
            "POST", "/xapu221/2f", DEADLINE_MS, key=key, body=BODY
        )

    try:
        for gateway in gateways:
            await gateway.start()
        if not await site.wait_until_ready(gateways, call):
            record.add("the site didn't become ready")
            return site.NOT_RUN
        if site.HAS_TROUBLE:
            began = time.monotonic()
            FaultyTarget.late_spans = [
                (began + a, began + b) for a, b in LATE_SPANS
            ]
            FaultyTarget.shed_spans = [
                (began + a, began + b) for a, b in SHED_SPANS
            ]
        await site.send_load(PER_S, LOAD_S, call)
    finally:
        for gateway in gateways:
            await gateway.stop()
    record.add_answers(client.answers)
    record.add_runs(runs)
    return verdict(record, client.answers, runs)


def verdict(record: site.Record, answers, runs: list[targets.Run]) -> int:
    """Returns the exit status by what clients got and targets ran."""
    counts = collections.Counter(run.attempt for run in runs)
    broken = 0
    for answer in answers:
        times = counts[answer.attempt]
        if answer.status in PROMISES and times:
            broken += 1
            record.add(f"REFUSED: {answer.attempt} got {answer.status} and ran")
        if times > 1:
            broken += 1
            record.add(f"TWICE: {answer.attempt} ran {times} times")
    statuses = collections.Counter(answer.status for answer in answers)
    record.add(
        f"{len(answers)} requests, answers by status {dict(statuses)}, "
        f"{len(FaultyTarget.repeated)} answers repeated late, "
        f"{broken} times a rule was broken"
    )
    if not statuses[200]:
        return site.NOT_RUN
    return site.BROKEN if broken else site.HELD


if __name__ == "__main__":
    site.main(FOLDER, case)

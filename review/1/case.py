"""Lets targets send the start of a second answer after a whole one."""

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
PER_S = 60.0
DEADLINE_MS = 5000
BODY = b"fatigue life of a bearing\n" * 46
# Targets spoil some of their answers in these spans, as seconds of the load.
SPANS = [(3.0, 7.5), (11.0, 15.5), (19.0, 23.5), (27.0, 31.5)]
SHARE_OF_TARGETS, SHARE_OF_ANSWERS = 0.35, 0.02
LOAD_S = 35.0
# What a target begins to send after it has answered, as if it had rejected the
# request. It breaks off between the status and the end of the line.
SECOND_ANSWER = b"HTTP/1.1 421 Misdirected Request"
STATUS_END = len(b"HTTP/1.1 421")


class FaultyTarget(targets.Target):
    """Sends additional bytes after some of its complete answers.

    Attributes:
        spans: When it does, on the monotonic clock.
        spoiled: Attempts whose answers were followed by such bytes.
    """

    spans: list[tuple[float, float]] = []
    spoiled: list[str] = []
    is_faulty = False

    async def work(self, request, reader, writer) -> bool:
        """See base class."""
        refused = self.refusal(request)
        if refused is not None:
            writer.write(refused)
            await writer.drain()
            return True
        status, headers, body = await self.run(request)
        data = http1.response(status, headers, body)
        if self._spoils():
            self.spoiled.append(request.headers["x-attempt-id"])
            end = self.random.randint(STATUS_END, len(SECOND_ANSWER))
            data += SECOND_ANSWER[:end]
        writer.write(data)
        await writer.drain()
        return True

    def _spoils(self) -> bool:
        now = time.monotonic()
        return (
            self.is_faulty
            and any(start <= now < end for start, end in self.spans)
            and self.random.random() < SHARE_OF_ANSWERS
        )


async def case(record: site.Record, folder: str) -> int:
    """Returns the exit status."""
    store = store_lib.Store()
    await store.start()
    store.put(
        "op",
        "config",
        site.config(
            site.route(
                "r-certify",
                "/xapu221/ny95/",
                "unsafe",
                "certifier",
                timeout="2500ms",
                objective="800ms",
            ),
            site.service("certifier"),
        ),
    )
    runs: list[targets.Run] = []
    for number in range(TARGETS):
        zone = site.ZONES[number % len(site.ZONES)]
        target = FaultyTarget(
            number, "certifier", zone, store, runs, (0.06, 0.18)
        )
        target.random = random.Random()
        target.is_faulty = number < SHARE_OF_TARGETS * TARGETS - 0.5
        await target.start()
    gateways = [site.Gateway(number, store, folder) for number in range(3)]
    client = site.Client(gateways, random.randrange(1 << 30))

    async def call() -> site.Answer:
        return await client.call(
            "POST", "/xapu221/ny95/2f", DEADLINE_MS, body=BODY
        )

    try:
        for gateway in gateways:
            await gateway.start()
        if not await site.wait_until_ready(gateways, call):
            record.add("the site didn't become ready")
            return site.NOT_RUN
        if site.HAS_TROUBLE:
            began = time.monotonic()
            FaultyTarget.spans = [(began + a, began + b) for a, b in SPANS]
        await site.send_load(PER_S, LOAD_S, call)
    finally:
        for gateway in gateways:
            await gateway.stop()
    record.add_answers(client.answers)
    record.add_runs(runs)
    for attempt in FaultyTarget.spoiled:
        record.add(f"additional bytes after the answer to {attempt}")
    return verdict(record, client.answers, runs)


def verdict(record: site.Record, answers, runs: list[targets.Run]) -> int:
    """Returns the exit status by how often requests ran."""
    ran_at: dict[str, list[str]] = {}
    for run in runs:
        ran_at.setdefault(run.attempt, []).append(run.target)
    status_by_attempt = {answer.attempt: answer.status for answer in answers}
    broken = 0
    for attempt, names in ran_at.items():
        if len(names) > 1:
            broken += 1
            record.add(
                f"TWICE: {attempt} ran at {' and '.join(names)}; its client "
                f"got {status_by_attempt[attempt]}"
            )
    succeeded = sum(200 <= answer.status < 300 for answer in answers)
    record.add(
        f"{len(answers)} requests, {succeeded} successes, "
        f"{len(FaultyTarget.spoiled)} answers followed by additional bytes, "
        f"{broken} requests that ran more than once"
    )
    if not succeeded:
        return site.NOT_RUN
    return site.BROKEN if broken else site.HELD


if __name__ == "__main__":
    site.main(FOLDER, case)

"""Connections of callers, however their bytes are divided into reads.

Random streams of requests on the real connection with a transport of the test's
own, in virtual time.
"""

import asyncio
import collections
import random

import aiohttp
from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web
import pytest

from swiftstile import clocks
from swiftstile.gateway import caller_input
from swiftstile.gateway import caller_requests
from swiftstile.gateway import callers
from swiftstile.gateway import memory_account
from tests import caller_stream_builders
from tests import virtual_time

_SEEDS_PER_BLOCK = 500
_BLOCKS = 8
# Share of the reads that arrive although reading was just paused.
_LATE_READ_SHARE = 0.05
# A connection closes if the rest of a body doesn't arrive within a time after
# its request was answered early; reads follow each other sooner.
_MAX_DELIVERY_S = callers.BODY_DRAIN_TIMEOUT_S / 2
# Time after which a request counts as never answered.
_PATIENCE_S = 30.0
_HEADER_TIMEOUT_S = 4.0
_IDLE_TIMEOUT_S = 15.0
# Above the tolerance for callers that respect the limits.
_TOLERANCE_S = 0.6


class _Responder(caller_requests.Responder):
    """Answers with what was read of each request, after random waits."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    async def respond(self, incoming):
        request = incoming.request
        await _random_wait(self._rng)
        if request.path.startswith("/early"):
            return web.Response(text=f"{request.path} early")
        try:
            body = await _read(request.content)
        except (aiohttp.ClientError, http_exceptions.HttpProcessingError):
            return web.Response(status=400, text="malformed body")
        await _random_wait(self._rng)
        fields = [
            value
            for name, value in request.headers.items()
            if name == "X-Number" or name.startswith("X-Trailer")
        ]
        return web.Response(
            text=caller_stream_builders.answer_text(request.path, body, fields)
        )

    def respond_malformed(self, error):
        is_long = isinstance(error, http_exceptions.LineTooLong)
        return web.Response(status=431 if is_long else 400, text="malformed")

    def may_run_concurrently(self, request):
        return request.method in ("GET", "HEAD")


async def _read(content: streams.StreamReader) -> bytes:
    pieces = []
    while piece := await content.readany():
        pieces.append(piece)
    return b"".join(pieces)


class _Play:
    """One stream on one connection.

    Args:
        stream: The stream.
        reads: The same, as it arrives.
        rng: Draws the waits.
    """

    def __init__(
        self,
        stream: caller_stream_builders.CallerStream,
        reads: list[bytes],
        rng: random.Random,
    ):
        self._rng = rng
        self._stream = stream
        self._reads = reads
        self._loop = loop = asyncio.get_running_loop()
        self._memory = memory_account.AccountPart()
        self._connections: set = set()
        self._connection = callers.CallerConnection(
            loop, _Responder(self._rng), self._connections, self._memory
        )
        self._transport = caller_stream_builders.Transport(loop)
        self._transport.protocol = self._connection

    async def run(self) -> list[str]:
        """Returns what was wrong."""
        self._connection.connection_made(self._transport)
        idle_bytes = self._memory.held_bytes
        problems = await self._deliver()
        is_over = await _until(self._is_over)
        if not is_over:
            problems.append("not answered in time")
        problems += self._check_answers()
        if self._stream.stays_open and is_over:
            problems += self._check_idle(idle_bytes)
        self._transport.close()
        await _until(lambda: not self._connections)
        await asyncio.sleep(0)
        if self._memory.held_bytes:
            problems.append(f"account holds {self._memory.held_bytes}")
        return problems

    async def _deliver(self) -> list[str]:
        problems: list[str] = []
        latest_wait = self._loop.time() + _MAX_DELIVERY_S
        position = 0
        for read in self._reads:
            is_late = self._rng.random() < _LATE_READ_SHARE
            if not self._transport.is_reading() and not is_late:
                await _until(self._can_deliver)
                if not self._transport.is_reading():
                    break
            if self._transport.is_closed:
                break
            self._connection.data_received(read)
            position += len(read)
            await_head = self._stream.is_inside_head(position)
            if (
                not self._stream.is_malformed
                and self._transport.is_reading()
                and (self._connection.head_started_at is not None) != await_head
            ):
                problems.append(f"head_started_at is wrong at {position}")
            if self._loop.time() < latest_wait:
                await _random_wait(self._rng)
        return problems[:1]

    def _can_deliver(self) -> bool:
        return self._transport.is_reading() or self._transport.is_closed

    def _is_over(self) -> bool:
        if not self._stream.stays_open:
            return self._transport.is_closed
        if self._connection.pending_count:
            return False
        try:
            return len(self._answers()) >= len(self._stream.requests)
        except ValueError:
            return True

    def _answers(self) -> list[caller_stream_builders.Answer]:
        methods = [request.method for request in self._stream.requests]
        return caller_stream_builders.read_answers(
            bytes(self._transport.written), methods
        )

    def _check_answers(self) -> list[str]:
        wanted: list[tuple[tuple[int, ...], str | None]] = []
        for request in self._stream.requests:
            text = "" if request.method == "HEAD" else request.text
            if request.is_malformed:
                # An early answer may be sent before the body is malformed.
                statuses = (200, 400) if request.answers_early else (400,)
                wanted.append((statuses, None))
            else:
                wanted.append(((200,), text))
        ending = self._stream.ending
        if ending is caller_stream_builders.Ending.MALFORMED_HEAD:
            wanted.append(((400, 431), None))
        elif ending is caller_stream_builders.Ending.ENDLESS_HEAD:
            wanted.append(((431,), None))
        try:
            answers = self._answers()
        except ValueError:
            return ["unreadable answers"]
        problems = []
        if len(answers) < len(wanted):
            problems.append("too few answers")
        elif len(answers) > len(wanted):
            problems.append(f"unasked {answers[len(wanted)].status}")
        for answer, (statuses, text) in zip(answers, wanted, strict=False):
            if answer.status not in statuses:
                problems.append(f"{answer.status} for a {statuses[0]}")
            elif text is not None and answer.text != text:
                problems.append("answer of another request")
        return problems

    def _check_idle(self, idle_bytes: int) -> list[str]:
        connection, now = self._connection, clocks.monotonic()
        partial = self._stream.partial_head_bytes
        problems = []
        if (connection.head_started_at is not None) != bool(partial):
            problems.append("head_started_at is wrong at the end")
        if (connection.idle_since() is None) != bool(partial):
            problems.append("idle_since is wrong")
        held = idle_bytes + caller_input.HEAD_COPIES * partial
        if self._memory.held_bytes != held:
            problems.append("account is wrong when idle")
        limit_s = _HEADER_TIMEOUT_S if partial else _IDLE_TIMEOUT_S
        since = connection.last_response_at
        if partial and connection.head_started_at is not None:
            since = connection.head_started_at
        if self._has_timed_out(since + limit_s):
            problems.append("closed before its timeout")
        if not self._has_timed_out(max(now, since + limit_s + _TOLERANCE_S)):
            problems.append("open after its timeout")
        return problems

    def _has_timed_out(self, now: float) -> bool:
        return self._connection.has_timed_out(
            _HEADER_TIMEOUT_S, _IDLE_TIMEOUT_S, now
        )


async def _random_wait(rng: random.Random) -> None:
    kind = rng.random()
    if kind < 0.5:
        return
    if kind < 0.9:
        await asyncio.sleep(0)
    else:
        await asyncio.sleep(rng.choice((0.001, 0.01, 0.1)))


async def _until(condition) -> bool:
    """Waits for a condition; returns whether it came true in time."""
    for _ in range(20):
        if condition():
            return True
        await asyncio.sleep(0)
    end = clocks.monotonic() + _PATIENCE_S
    while not condition():
        if clocks.monotonic() > end:
            return False
        await asyncio.sleep(0.02)
    return True


@pytest.fixture(name="loop")
def _loop(monkeypatch):
    clock = virtual_time.Clock()
    monkeypatch.setattr(clocks, "monotonic", lambda: clock.now)
    loop = virtual_time.Loop(clock)
    yield loop
    loop.close()


async def _play(
    stream: caller_stream_builders.CallerStream,
    reads: list[bytes],
    rng: random.Random,
) -> list[str]:
    """Returns what was wrong."""
    return await _Play(stream, reads, rng).run()


def _play_seed(loop: asyncio.AbstractEventLoop, seed: int) -> list[str]:
    rng = random.Random(seed)
    stream = caller_stream_builders.random_stream(rng)
    reads = caller_stream_builders.divide(rng, stream)
    return loop.run_until_complete(_play(stream, reads, rng))


def _summary(by_seed: dict[int, list[str]]) -> str:
    counts = collections.Counter(
        problem.split(" at ")[0]
        for problems in by_seed.values()
        for problem in problems
    )
    some = dict(list(by_seed.items())[:10])
    return f"{len(by_seed)} streams failed: {dict(counts)}, first: {some}"


@pytest.mark.parametrize("block", range(_BLOCKS))
def test_any_division_of_any_stream_gets_its_own_answers(loop, block):
    # Requests behind an upload stayed unanswered, or a read that ended a body
    # was taken for the beginning of a head, if the reads fell badly.
    start = block * _SEEDS_PER_BLOCK
    by_seed = {}
    for seed in range(start, start + _SEEDS_PER_BLOCK):
        problems = _play_seed(loop, seed)
        if problems:
            by_seed[seed] = problems
    assert not by_seed, _summary(by_seed)


def _problems(
    loop: asyncio.AbstractEventLoop,
    stream: caller_stream_builders.CallerStream,
    *ends: int,
) -> list[str]:
    """Plays a stream whose reads end at given positions; returns problems."""
    reads = [
        stream.data[start:end]
        for start, end in zip([0, *ends], [*ends, None], strict=True)
    ]
    return loop.run_until_complete(_play(stream, reads, random.Random(1)))


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("size", [60, 4000, 90_000, 120_000, 250_000])
def test_read_that_ends_a_body_is_not_the_beginning_of_a_head(
    loop, framing, size
):
    # An unasked 431 followed the answer if the read had over 82 kB; below that,
    # the connection was closed by the header timeout.
    stream = caller_stream_builders.upload_stream([size], framing)
    assert not _problems(loop, stream, stream.requests[0].head_end)


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("size", [4000, 130_000, 250_000])
def test_read_behind_an_upload_is_answered(loop, framing, size):
    # The parser kept a request behind an upload whose last part exceeds the
    # body's buffer, and nothing made it go on.
    stream = caller_stream_builders.upload_stream([size], framing, reads=1)
    assert not _problems(loop, stream, stream.requests[0].head_end)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_request_behind_an_early_answer_is_answered(loop, framing):
    # As above, while the rest of the body is discarded.
    stream = caller_stream_builders.upload_stream(
        [6_000_000, 1000], framing, kind="early"
    )
    ends = range(1 << 18, len(stream.data), 1 << 18)
    assert not _problems(loop, stream, *ends)


def test_trailers_are_not_fields_of_the_next_request(loop):
    # The parser of aiohttp adds the last trailer to the next head.
    stream = caller_stream_builders.upload_stream(
        [10, 10],
        "chunks",
        reads=1,
        trailers=b"X-Trailer: a\r\nX-Trailer: b\r\n",
    )
    assert not _problems(loop, stream)


@pytest.mark.parametrize("chunks", [4096, 4097, 5000, 9000])
def test_upload_behind_one_of_many_small_chunks_is_answered(loop, chunks):
    # The parser of aiohttp stops within a body if the one before it had as many
    # chunks as make it pause; nothing would make it go on.
    stream = caller_stream_builders.upload_stream(
        [chunks, 300, 3000], "chunks", reads=1, chunk_bytes=1
    )
    assert not _problems(loop, stream, stream.requests[0].end - 9)


@pytest.mark.parametrize("kind", ["whole", "early"])
@pytest.mark.parametrize("seed", range(40))
def test_request_with_a_malformed_body_gets_one_answer(loop, kind, seed):
    # It waited for the rest of its body until its time was up, and a 400 that
    # nobody had asked for followed its answer.
    rng = random.Random(seed)
    stream = caller_stream_builders.malformed_upload_stream(rng, kind)
    assert not _problems(loop, stream, stream.requests[0].head_end)


def test_body_of_a_request_with_a_long_head_is_read(loop):
    # Reading paused as the heads filled the queue, and went on only once the
    # heads of all but answered requests were short.
    stream = caller_stream_builders.long_heads_stream()
    assert not _problems(loop, stream, stream.requests[1].head_end)

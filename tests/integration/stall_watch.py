"""Notices when the process of the stand-ins doesn't run its event loop.

The stand-ins answer from the test's process. While its loop is blocked, or the
machine runs other processes, no gateway gets an answer, which looks like a
fault of the platform.
"""

import asyncio
import contextlib
import dataclasses
import sys
import threading
import time

__all__ = ["Stall", "StallWatch"]

_BEAT_S = 0.02
# Shorter pauses affect no timeout of the gateways.
MIN_STALL_S = 0.2


@dataclasses.dataclass(frozen=True)
class Stall:
    """A time in which the loop didn't run.

    Attributes:
        at: Its start, on the clock of the event loop.
        for_s: How long it lasted.
        busy_s: Processor time of the loop's thread in it. Close to `for_s` if
            a call blocked the loop, close to 0 if the thread didn't run.
        where: Innermost call in the project during it; empty if none was seen.
    """

    at: float
    for_s: float
    busy_s: float
    where: str

    def __str__(self) -> str:
        place = f" in {self.where}" if self.where else ""
        return (
            f"{self.at:.2f} own process stood still for {self.for_s:.2f} s, "
            f"{self.busy_s:.2f} s of it busy{place}"
        )


class StallWatch:
    """Records the stalls of the loop that it is entered in.

    Attributes:
        stalls: The stalls so far.
    """

    def __init__(self):
        self.stalls: list[Stall] = []
        self._beat_at = 0.0
        self._where = ""
        self._thread_id = 0
        self._is_over = threading.Event()

    async def __aenter__(self) -> "StallWatch":
        self._thread_id = threading.get_ident()
        self._beat_at = time.monotonic()
        self._task = asyncio.create_task(self._beat())
        self._sampler = threading.Thread(target=self._sample, daemon=True)
        self._sampler.start()
        return self

    async def __aexit__(self, *_) -> None:
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._is_over.set()
        self._sampler.join()

    def summary(self) -> str:
        """Returns one line on all stalls; empty if there were none."""
        if not self.stalls:
            return ""
        longest = max(self.stalls, key=lambda stall: stall.for_s)
        total_s = sum(stall.for_s for stall in self.stalls)
        return (
            f"own process stood still {len(self.stalls)} times, "
            f"{total_s:.2f} s in total; longest: {longest}"
        )

    async def _beat(self) -> None:
        loop = asyncio.get_running_loop()
        busy = time.thread_time()
        while True:
            at = loop.time()
            self._beat_at = time.monotonic()
            await asyncio.sleep(_BEAT_S)
            for_s, now_busy = loop.time() - at - _BEAT_S, time.thread_time()
            if for_s >= MIN_STALL_S:
                self.stalls.append(
                    Stall(at, for_s, now_busy - busy, self._where)
                )
            self._where, busy = "", now_busy

    def _sample(self) -> None:
        """Looks what the loop's thread does while it doesn't run the loop."""
        while not self._is_over.wait(MIN_STALL_S / 2):
            if time.monotonic() - self._beat_at < MIN_STALL_S:
                continue
            frame = sys._current_frames().get(self._thread_id)
            self._where = self._where or _innermost_call(frame)


def _innermost_call(frame) -> str:
    """Returns the innermost frame of the project's own code."""
    # Source lines aren't read: each file access releases the interpreter's
    # lock, which the blocking call then holds.
    while frame is not None:
        code = frame.f_code
        if "/tests/" in code.co_filename or "/standins/" in code.co_filename:
            name = code.co_filename.rpartition("/")[2]
            return f"{name}:{frame.f_lineno} {code.co_name}"
        frame = frame.f_back
    return ""

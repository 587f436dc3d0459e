"""Runs one test many times beside a load, and counts its failures.

    python tools/repeat_test.py TEST --runs 30 --parallel 6 --busy 8

The load is a number of processes that compute without a pause. Each run is a
pytest process of its own; the output of failed runs is kept in a folder.
"""

import argparse
import asyncio
import os
import pathlib
import sys
import tempfile
import time

__all__ = ["main"]

# Ends by itself, even if this process is killed.
_BUSY_LOOP = """
import time
end = time.monotonic() + {0}
while time.monotonic() < end:
    pass
"""


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("test", help="pytest's name of the test")
    parser.add_argument("--runs", type=int, default=12)
    parser.add_argument("--parallel", type=int, default=6)
    parser.add_argument("--busy", type=int, default=0, help="busy processes")
    parser.add_argument("--max-seconds", type=int, default=900)
    parser.add_argument("--keep", type=pathlib.Path, help="folder of outputs")
    return parser.parse_args(arguments)


async def _start_busy(count: int, seconds: int) -> list:
    code = _BUSY_LOOP.format(seconds)
    return [
        await asyncio.create_subprocess_exec(sys.executable, "-c", code)
        for _ in range(count)
    ]


async def _run_once(test: str, number: int, folder: pathlib.Path) -> bool:
    """Runs the test once; returns whether it passed."""
    output = folder / f"run-{number}.txt"
    with output.open("wb") as file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "no:cacheprovider",
            f"--basetemp={folder / f'run-{number}'}",
            test,
            stdout=file,
            stderr=file,
        )
        return await process.wait() == 0


async def _repeat(options: argparse.Namespace, folder: pathlib.Path) -> int:
    """Runs the test `options.runs` times; returns the number of failures."""
    end = time.monotonic() + options.max_seconds
    numbers = iter(range(options.runs))
    results: list[bool] = []

    async def work() -> None:
        for number in numbers:
            if time.monotonic() > end:
                return
            passed = await _run_once(options.test, number, folder)
            results.append(passed)
            if not passed:
                print(f"run {number} failed", flush=True)

    busy = await _start_busy(options.busy, options.max_seconds + 60)
    try:
        await asyncio.gather(*(work() for _ in range(options.parallel)))
    finally:
        for process in busy:
            process.kill()
        for process in busy:
            await process.wait()
    failures = results.count(False)
    load = os.getloadavg()[0]
    print(f"{failures} of {len(results)} failed, load {load:.1f}: {folder}")
    return failures


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line; the exit status is 1 if a run failed."""
    options = _parse(arguments)
    folder = options.keep or pathlib.Path(tempfile.mkdtemp(prefix="repeat-"))
    folder.mkdir(parents=True, exist_ok=True)
    return int(asyncio.run(_repeat(options, folder)) > 0)


if __name__ == "__main__":
    sys.exit(main())

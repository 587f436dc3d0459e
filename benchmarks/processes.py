"""Starts, stops, pauses and measures the processes of a run."""

import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.request

__all__ = ["Process", "free_ports", "post", "wait_until"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PORT_RANGE = (10_000, 32_000)
_returned_ports: set[int] = set()
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Process:
    """A child process of this run."""

    def __init__(
        self, name: str, module: str, args: list[str], folder: pathlib.Path
    ):
        self.name = name
        self._module = module
        self._args = args
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts or restarts the process."""
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", self._module, *self._args],
                cwd=_ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.send_signal(signal.SIGKILL)
        self.wait(10)

    def wait(self, timeout_s: float) -> int | None:
        """Waits for the exit status; returns None after the timeout."""
        if self._child is None:
            return None
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def is_running(self) -> bool:
        """Returns whether the process is running."""
        return self._child is not None and self._child.poll() is None

    def pin(self, cpus: set[int]) -> None:
        """Sets the CPU affinity of all its threads."""
        for thread in os.listdir(f"/proc/{self._child.pid}/task"):
            os.sched_setaffinity(int(thread), cpus)

    def cpu_s(self) -> float:
        """Returns the CPU time used so far, in seconds."""
        with contextlib.suppress(OSError):
            text = pathlib.Path(f"/proc/{self._child.pid}/stat").read_text()
            fields = text.rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
        return 0.0

    def memory_bytes(self) -> int:
        """Returns the resident memory, in bytes."""
        with contextlib.suppress(OSError):
            text = pathlib.Path(f"/proc/{self._child.pid}/statm").read_text()
            return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")
        return 0

    def log_tail(self, lines: int = 20) -> str:
        """Returns the last lines of its log."""
        text = self._log.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Returns ports of a loopback address that nothing listens on.

    No port is returned twice by one process.

    The ports are below the ephemeral range: the kernel could otherwise assign
    one to an outgoing connection before its process listens on it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(*_PORT_RANGE)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((host, port))
                if port not in _returned_ports:
                    _returned_ports.add(port)
                    ports.append(port)
    return ports


def post(url: str, body: bytes, method: str = "POST") -> bytes:
    """Sends a request with a body and returns the response body."""
    request = urllib.request.Request(url, data=body, method=method)
    with urllib.request.urlopen(request, timeout=30) as response:
        return response.read()


def wait_until(
    condition, timeout_s: float, description: str, poll_interval_s: float = 0.05
):
    """Polls `condition()` until it returns a true value and returns that.

    Raises:
        TimeoutError: It wasn't true within the timeout.
    """
    end = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > end:
            raise TimeoutError(f"timed out after {timeout_s} s: {description}")
        time.sleep(poll_interval_s)

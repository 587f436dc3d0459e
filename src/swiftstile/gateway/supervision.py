"""Keeps the duties of a process apart, so that one's failure ends no other.

A duty that raises an error of the program is logged with its traceback, counted
and tried again after a pause. Settings that the process can't work with, such
as an address in use, still end it.
"""

import asyncio
import collections.abc
import contextlib

from swiftstile import errors
from swiftstile import logs
from swiftstile import metrics

__all__ = ["RETRY_PAUSE_S", "Supervisor"]

# Bounds the lines and the work of a duty that fails each time.
RETRY_PAUSE_S = 1.0


class Supervisor:
    """Runs duties and records their failures.

    Args:
        failures: Counts failures, by duty.
    """

    def __init__(self, failures: metrics.LabelledCounter):
        self._failures = failures

    async def keep_running(
        self,
        duty: str,
        run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Runs a duty until it returns, and again after each failure.

        Raises:
            SettingsError: The duty can't be carried out with these settings.
        """
        while True:
            with self.isolate(duty):
                await run()
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    @contextlib.contextmanager
    def isolate(
        self, duty: str, subject: str = ""
    ) -> collections.abc.Iterator[None]:
        """Records an error of one step of a duty instead of raising it.

        Args:
            duty: The duty.
            subject: What the step is about, such as a service or a row.

        Raises:
            SettingsError: The duty can't be carried out with these settings.
        """
        try:
            yield
        except errors.SettingsError:
            raise
        except Exception as error:
            self._failures.add(duty)
            logs.logger.opt(exception=error).error(
                "duty failed", duty=duty, subject=subject, error=repr(error)
            )

"""Follows one table of the platform's store, through its outages.

Where many VMs share a failure domain, a few of them ask the store and the
others take the rows from these (readers.py, relay.py).
"""

import asyncio
import collections.abc
import random

from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile import pacing
from swiftstile.gateway import freshness
from swiftstile.gateway import interfaces
from swiftstile.gateway import outage as outage_lib
from swiftstile.gateway import readers
from swiftstile.gateway import reports

__all__ = ["TableFollower"]

# How long a call waits for changes. A connection that went silent is noticed
# after this: calm VMs have 5 s from the end of an outage to follow.
WATCH_S = 4.0

# Peers are told of news for so long: whoever's call fell silent before they
# came knows that it did by then.
NEWS_S = WATCH_S + freshness.ANSWER_S

# Pauses after failures: the first short, since single answers get lost; the
# last so that a store that comes back isn't flooded by all VMs.
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.4
# The same where readers ask, too, and tell of the store's return.
LONGEST_PAUSE_OF_MANY_S = 1.2
# Between two looks whether a peer still tells fresh word.
LED_PAUSE_S = 0.2
# Peers' word is trusted for so long after a look at it: the next look may be
# late by as much again. With the age that their word may have (readers.py) that
# is below the 2 s in which a configuration has to be in force.
LED_TRUST_S = 2 * LED_PAUSE_S
# A peer tells of a row so long after the store has it: the pause between its
# calls, and the time to its next report.
TOLD_AFTER_S = 0.5
# In the first seconds many VMs and upstreams register; one call for each change
# would be thousands.
START_S = 3.0
START_BATCH_S = 0.25
# Most removed rows that are remembered for peers that ask for changes.
MOST_REMOVED = 1000


class TableFollower:
    """Keeps the rows of a table as the store last told them.

    Args:
        name: Name of the table.
        table: The table.
        apply: Called with rows that changed.
        batch_s: Pause after each change, for tables that change in bursts.
        store_readers: Chooses the VMs that ask the store; None where each VM
            does.
        reader_watch_s: How long a call waits for changes where other VMs rely
            on this one.
        outage: What this VM's followers know of an outage together; None for
            a follower on its own.
        tells_news: Whether peers are told of new rows also where none relies
            on this VM: one whose call fell silent knows then that it is behind.

    Attributes:
        name: Name of the table, for logs.
        rows: Rows by key.
        version: Newest version of the store that was seen.
        row_version: Newest version of a row of this table.
        answered_at: When a call last succeeded.
        contact_at: When the last call that succeeded was sent; the rows are
            at least as new as that.
        failing_since: When calls began to fail; None while they succeed.
        recovered_at: Since when calls succeed, the first one included.
        is_loaded: Whether the table was read since the start.
        news_since: Since when the store may have had the rows that are being
            applied, or were last.
    """

    def __init__(
        self,
        name: str,
        table: interfaces.StateTable,
        apply: collections.abc.Callable[[list[interfaces.Change]], None],
        batch_s: float = 0.0,
        store_readers: readers.StoreReaders | None = None,
        reader_watch_s: float = WATCH_S,
        outage: outage_lib.Outage | None = None,
        tells_news: bool = False,
    ):
        self.name = name
        self.rows: dict[str, interfaces.Change] = {}
        self.version = 0
        self.row_version = 0
        self.contact_at = 0.0
        self.answered_at = 0.0
        self.failing_since: float | None = None
        self.recovered_at = 0.0
        self.is_loaded = False
        self.news_since = float("-inf")
        # Until when there was nothing that wasn't known here.
        self._complete_at = float("-inf")
        self._table = table
        self._apply = apply
        self._batch_s = batch_s
        self._readers = store_readers
        self._reader_watch_s = reader_watch_s
        self._outage = outage or outage_lib.Outage()
        self._tells_news = tells_news
        # When the newest row of this table came.
        self._row_at = float("-inf")
        self._started = clocks.monotonic()
        self._freshness = freshness.Freshness(name)
        # Ends the step that is under way.
        self._limit: asyncio.Timeout | None = None
        # Versions at which rows were removed, by key, oldest first.
        self._removed: dict[str, int] = {}
        # All rows that were removed after this version are in `_removed`.
        self._remembers_since = 0

    async def run(self) -> None:
        """Follows the table until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            sent = clocks.monotonic()
            if self.is_led(sent):
                self._note_led(sent)
                await pacing.sleep_aligned(LED_PAUSE_S)
                continue
            try:
                is_done = await self._step_unless_overtaken()
            except errors.PlatformError as error:
                self._note_failure(error)
                await self._outage.pause(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(pause_s * 2, self._longest_pause_s())
                continue
            if is_done:
                pause_s = FIRST_PAUSE_S
                self._note_contact(sent)
            elif self.failing_since is not None:
                # Rows of peers may come often; a store that is away isn't asked
                # each time.
                await self._outage.pause(pause_s * random.uniform(0.7, 1.3))

    async def _step_unless_overtaken(self) -> bool:
        """Does a step; returns whether it came to its end.

        It doesn't where a peer hands over newer rows meanwhile: the store's
        answer may be on its way for seconds, as it holds each version that was
        missed, and would take bandwidth from what is newer.
        """
        self._limit = limit = asyncio.timeout(None)
        try:
            async with limit:
                await self._step()
        except TimeoutError:
            if not limit.expired():
                raise
            return False
        finally:
            self._limit = None
        return True

    def _give_up_step(self) -> None:
        if self._limit is not None:
            self._limit.reschedule(asyncio.get_running_loop().time())
            self._limit = None

    async def _step(self) -> None:
        if not self.is_loaded:
            await self._read_all()
            return
        asked_at = clocks.monotonic()
        changes = await self._table.wait_for_changes(
            self.version, self._watch_s()
        )
        if changes is None:
            logs.logger.info("history dropped, reading all", table=self.name)
            await self._read_all()
            return
        if changes.version < self.version:
            # A peer's rows were quicker. They include these, and the removal
            # of some of them.
            return
        self._note_answer(asked_at)
        self._merge(changes.rows)
        self._note_version(changes.version)
        if changes.rows:
            # What changes in the meantime comes with the next call.
            await asyncio.sleep(self._pause_after_change_s())

    async def _read_all(self) -> None:
        asked_at = self.version
        snapshot = await self._table.read_all()
        if self.is_loaded and asked_at <= snapshot.version < self.version:
            # A peer's rows were quicker, and the store's answer wasn't stale.
            return
        self.news_since = self._complete_at
        self._replace(snapshot)
        self._complete_at = clocks.monotonic()

    def _note_answer(self, asked_at: float) -> None:
        """The store told of all that is new.

        A call that waits is answered as soon as there is news. What it brings
        sooner may have been there since the answer before it.
        """
        now = clocks.monotonic()
        was_waiting = (
            self.failing_since is None and now - asked_at > freshness.ANSWER_S
        )
        self.news_since = now if was_waiting else self._complete_at
        self._complete_at = now

    def _longest_pause_s(self) -> float:
        chosen = self._readers
        longest_s = LONGEST_PAUSE_OF_MANY_S
        if chosen is None or chosen.is_reader(clocks.monotonic()):
            longest_s = LONGEST_PAUSE_S
        return self._outage.longest_pause_s(self.name, longest_s)

    def _watch_s(self) -> float:
        now = clocks.monotonic()
        if self.failing_since is not None:
            # A call that waits would tell of the store's return too late.
            return 0.0
        if self._readers is None or not self._readers.is_many(now):
            return WATCH_S
        return self._reader_watch_s

    def _pause_after_change_s(self) -> float:
        if clocks.monotonic() - self._started < START_S:
            return max(self._batch_s, START_BATCH_S)
        return self._batch_s

    def is_led(self, now: float) -> bool:
        """Whether peers tell of newer rows, so that the store isn't asked."""
        return self.relies_on_peers(now) and not self.is_left_behind(now)

    def relies_on_peers(self, now: float) -> bool:
        """Whether it is for peers to follow the store, and they do."""
        if self._readers is None or not self.is_loaded:
            return False
        return not self._readers.follows_itself(
            self.name, self._reader_watch_s, now
        )

    def is_left_behind(self, now: float) -> bool:
        """Whether a row that a peer told of doesn't come, for a while now."""
        return self._freshness.is_left_behind(now)

    def is_current(self, now: float) -> bool:
        """Whether "there is no such row" may be said, as far as can be known.

        It may not while calls fail, while a row is missing that a peer told of,
        and after the last word has grown old. The silence of a call counts only
        after one that was answered: the first one after a failure, or after
        peers' word ended, proves nothing yet. `contact_at` is no measure of
        this: a call that succeeded was sent up to a whole wait before its
        answer, and the next one waits as long.
        """
        return self.failing_since is None and self._freshness.is_current(now)

    def note_told(self, version: int, now: float) -> None:
        """A peer told that there is a row of a version."""
        self._freshness.note_told(version, now)

    def note_progress(self, now: float) -> None:
        """A part of the rows that a peer told of came from it."""
        self._freshness.note_progress(now)

    def _note_version(self, version: int) -> None:
        self.version = max(self.version, version)
        self._freshness.note_version(version, clocks.monotonic())

    def word(self, now: float) -> reports.TableWord | None:
        """Returns what others may rely on; None if there is nothing."""
        if not self._is_for_peers(now):
            return None
        if self.failing_since is not None or self.is_led(now):
            return None
        age_s = round(now - self.answered_at, 2)
        return reports.TableWord(self.row_version, age_s)

    def _is_for_peers(self, now: float) -> bool:
        """Whether peers rely on this VM's word, or may lack what is new."""
        if self._readers is not None and self._readers.is_many(now):
            return True
        return self._tells_news and now - self._row_at <= NEWS_S

    def _note_led(self, now: float) -> None:
        if not self._freshness.is_behind():
            # A reader's word is no older than this.
            age_s = self._reader_watch_s + readers.WORD_MARGIN_S
            self.contact_at = max(self.contact_at, now - age_s)
            self._complete_at = max(self._complete_at, now - age_s)
            self._freshness.note_word(until=now + LED_TRUST_S)
        self._note_recovery(now)

    def accept(self, snapshot: interfaces.Snapshot, is_whole: bool) -> None:
        """Takes in rows from a peer, unless newer ones are known.

        Args:
            snapshot: The rows.
            is_whole: Whether all rows are listed, and not just changes.
        """
        if snapshot.version <= self.version:
            return
        self._give_up_step()
        self._note_handed_over(clocks.monotonic())
        if is_whole:
            self._replace(snapshot)
        else:
            self._merge(snapshot.rows)
            self._note_version(snapshot.version)

    @property
    def newest_change(self) -> int:
        """Version after which rows neither changed nor may have, unseen.

        Rows may have come and gone before a whole read that changed none here.
        Who saw them come needs an answer that is as new as that read.
        """
        return max(self.row_version, self._remembers_since)

    def _note_handed_over(self, now: float) -> None:
        """Rows come from a peer."""
        if not self.is_loaded:
            self.news_since = float("-inf")
            return
        behind_since = self._freshness.behind_since
        told_at = now if behind_since is None else behind_since
        self.news_since = told_at - TOLD_AFTER_S

    def since(self, version: int) -> list[interfaces.Change] | None:
        """Returns what changed after a version; None if that isn't known."""
        if version < self._remembers_since:
            return None
        changed = [row for row in self.rows.values() if row.version > version]
        removed = [
            interfaces.Change(key, None, at)
            for key, at in self._removed.items()
            if at > version
        ]
        return sorted(changed + removed, key=lambda row: row.version)

    def _replace(self, snapshot: interfaces.Snapshot) -> None:
        if snapshot.version < self.version:
            raise errors.PlatformUnavailableError(
                f"read of version {snapshot.version} after {self.version}",
                step="read table",
                peer=self.name,
            )
        # Rows may have come and gone since the last read, unseen here; peers
        # that saw them have to get all rows.
        self._remembers_since = max(self._remembers_since, snapshot.version)
        present = {row.key for row in snapshot.rows}
        removed = [
            interfaces.Change(key, None, snapshot.version)
            for key in self.rows
            if key not in present
        ]
        self._note_version(snapshot.version)
        self._merge(snapshot.rows + removed)
        if not self.is_loaded:
            self.is_loaded = True
            self.recovered_at = clocks.monotonic()

    def _merge(self, changes: list[interfaces.Change]) -> None:
        newer = []
        for change in changes:
            known = self.rows.get(change.key)
            if known is not None and known.version >= change.version:
                continue
            if change.version > self.row_version:
                self.row_version = change.version
                self._row_at = clocks.monotonic()
            if change.value is None:
                self._remember_removed(change)
                if known is None:
                    continue
                del self.rows[change.key]
            else:
                self._removed.pop(change.key, None)
                self.rows[change.key] = change
            newer.append(change)
        if newer:
            self._apply(newer)

    def _remember_removed(self, change: interfaces.Change) -> None:
        self._removed.pop(change.key, None)
        self._removed[change.key] = change.version
        if len(self._removed) > MOST_REMOVED:
            oldest = next(iter(self._removed))
            self._remembers_since = max(
                self._remembers_since, self._removed.pop(oldest)
            )

    def _note_failure(self, error: errors.PlatformError) -> None:
        self._outage.note_failure(self.name)
        if self.failing_since is None:
            self.failing_since = clocks.monotonic()
            logs.logger.warning("table lost", table=self.name, error=str(error))

    def _note_contact(self, sent: float) -> None:
        self.contact_at = sent
        self.answered_at = clocks.monotonic()
        self._note_recovery(self.answered_at)
        self._freshness.note_answer(self.answered_at, self._watch_s())

    def _note_recovery(self, now: float) -> None:
        self._outage.note_answer(self.name)
        if self.failing_since is not None:
            logs.logger.info(
                "table regained",
                table=self.name,
                after_s=round(now - self.failing_since, 3),
            )
            self.recovered_at = now
            self.failing_since = None

    def silent_s(self, now: float) -> float:
        """Returns since when calls fail, in seconds; 0 while they succeed."""
        return 0.0 if self.failing_since is None else now - self.failing_since

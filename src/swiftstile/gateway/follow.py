"""Keeps a local copy of a table of the platform's store, across outages.

In a failure domain with many VMs a few of them read the store and the others
fetch the rows from these (readers.py, relay.py).
"""

import asyncio
import collections.abc
import random

from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.gateway import freshness
from swiftstile.gateway import interfaces
from swiftstile.gateway import outage as outage_lib
from swiftstile.gateway import readers
from swiftstile.gateway import reports
from swiftstile.gateway import store_polling
from swiftstile.gateway import store_versions
from swiftstile.gateway import table_rows

__all__ = ["TableFollower"]

# Long-poll timeout of calls for changes. A broken connection is noticed after
# this time: idle VMs have 5 s from the end of an outage to catch up.
WATCH_S = 4.0

# New rows are published to peers for this long: a VM whose call stopped
# responding before they were written knows that it did by then.
ANNOUNCE_S = WATCH_S + freshness.ANSWER_MARGIN_S

# Age of a status that only says which rows a VM has: no VM relies on it.
UNRELIABLE_AGE_S = 60.0

# Backoff after failures: the first pause is short, since single answers get
# lost; the maximum keeps all VMs from flooding a store that recovers.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
# The maximum for VMs that learn of the store's recovery from readers.
MAX_BACKOFF_WITH_READERS_S = 1.2
# The maximum for readers in domains where other VMs take turns: with its random
# variation it is below the 1 s within which the recovery has to be noticed.
MAX_BACKOFF_WITH_TURNS_S = 0.7
# Interval of checks whether a peer still publishes a fresh status.
PEER_CHECK_INTERVAL_S = 0.2
# Peers' status is trusted for this long after a check, as the next check may be
# late by as much again. With the maximum age of that status (readers.py) that
# is below the 2 s within which a configuration has to be in force.
PEER_TRUST_S = 2 * PEER_CHECK_INTERVAL_S
# Maximum time from a write to the store until a peer publishes it: the pause
# between its calls, and the time to its next report.
PEER_REPORT_DELAY_S = 0.5
# Many VMs and upstreams register in the first seconds after a start; a call for
# each change would make thousands of calls.
STARTUP_S = 3.0
STARTUP_BATCH_S = 0.25


class TableFollower:
    """Keeps the rows of a table as of the store's last answer.

    Args:
        name: Name of the table.
        table: The table.
        apply: Called with rows that changed.
        batch_s: Pause after each change, for tables that change in bursts.
        store_readers: Chooses the VMs that read the store; None where each VM
            does.
        reader_watch_s: Long-poll timeout where other VMs rely on this one.
        outage: Outage state that this VM's followers share; None for a follower
            on its own.
        turns: Limits calls while no reader reaches the store; None for no
            limit.
        announces_changes: Whether to publish new rows to peers also where none
            relies on this VM: a peer whose call stopped responding learns by
            them that it is behind.
        store_calls: Counts calls by table and reason.

    Attributes:
        name: Name of the table, for logs.
        rows: Rows by key.
        version: Newest version of the store that was seen.
        store_version: Newest version that the store itself returned to this VM.
        store_answered_at: When the store last answered, without the pause after
            changes.
        answered_at: When a call last succeeded.
        contact_at: When the last call that succeeded was sent; the rows are at
            least as new as that.
        failing_since: When calls began to fail; None while they succeed.
        recovered_at: Since when calls succeed, the first one included.
        is_loaded: Whether the table was read since the start.
        earliest_change_at: Earliest time at which the store may have had the
            rows that are being applied, or were applied last.
        is_returning: Whether the rows that are being applied are the first ones
            read since the store returned from an older copy. Rows known from
            before may be newer, and so may the absence of a row; what the
            operator and upstreams had written is written again.
        generation_seen_at: When the first row of the present generation was
            read.
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
        turns: store_polling.PollingTurns | None = None,
        announces_changes: bool = False,
        store_calls: metrics.LabelledCounter | None = None,
    ):
        self.name = name
        self._rows = table_rows.TableRows()
        self.rows = self._rows.by_key
        self.version = 0
        self.store_version = 0
        self.store_answered_at = float("-inf")
        self.contact_at = 0.0
        self.answered_at = 0.0
        self.failing_since: float | None = None
        self.recovered_at = 0.0
        self.is_loaded = False
        self.earliest_change_at = float("-inf")
        self.is_returning = False
        self.generation_seen_at = float("-inf")
        # Time up to which all changes of the table are known here.
        self._complete_until = float("-inf")
        self._table = table
        self._apply = apply
        self._batch_s = batch_s
        self._store_calls = store_calls or metrics.LabelledCounter()
        # Why the next call is made; set where a step ends.
        self._next_reason = store_polling.Reason.POLL
        self._readers = store_readers
        self._reader_watch_s = reader_watch_s
        self._outage = outage or outage_lib.Outage()
        self._turns = turns
        # The store answered this VM while no reader reached it.
        self._has_taken_over = False
        self._announces_changes = announces_changes
        self._started = clocks.monotonic()
        self._freshness = freshness.Freshness(name)
        # Cancels the step in progress.
        self._step_timeout: asyncio.Timeout | None = None
        # When the long poll in progress began; None while there is none.
        self._long_poll_began_at: float | None = None
        self._called_anew_at = float("-inf")
        # A long poll was replaced, and no call has succeeded since.
        self._has_unanswered_call = False
        # How long the last answer to a call without wait took: over a narrow
        # link an answer arrives slowly and isn't overdue yet.
        self._answer_s = 0.0
        # The next call asks for changes at once and isn't cancelled for rows of
        # a peer, so that a store that stays silent is noticed.
        self._asks_at_once = False

    async def run(self) -> None:
        """Follows the table until cancelled."""
        pause_s = INITIAL_BACKOFF_S
        while True:
            sent = clocks.monotonic()
            if self.follows_peers(sent):
                self._has_taken_over = False
                self._record_peer_coverage(sent)
                await pacing.sleep_aligned(PEER_CHECK_INTERVAL_S)
                continue
            if not self._may_call(sent):
                await self._outage.pause(store_polling.TURN_CHECK_S)
                continue
            try:
                is_done = await self._step_unless_overtaken()
            except errors.PlatformError as error:
                self._record_failure(error)
                await self._outage.pause(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(pause_s * 2, self._max_backoff_s())
                continue
            if is_done:
                pause_s = INITIAL_BACKOFF_S
                self._record_contact(sent)
            elif self.failing_since is not None:
                # Rows of peers may arrive often; an unresponsive store isn't
                # called after each of them.
                await self._outage.pause(pause_s * random.uniform(0.7, 1.3))

    def _may_call(self, now: float) -> bool:
        """Whether to call the store; records a failure while it isn't."""
        if not self.waits_for_turns(now):
            return True
        if self.failing_since is None:
            self._record_failure(
                errors.PlatformUnavailableError(
                    "no VM of the domain reaches it",
                    step="follow peers",
                    peer=self.name,
                )
            )
        return self._turns.may_call(self.name, now)

    def waits_for_turns(self, now: float) -> bool:
        """Whether this VM calls the store only when it is its turn.

        Not while readers publish a fresh status but don't deliver their rows,
        nor before the first read: few VMs start during an outage.
        """
        if self._turns is None or self._readers is None or not self.is_loaded:
            return False
        return (
            not self._readers.always_reads(now)
            and self._turns.has_turns(now)
            and not self.is_substitute(now)
            and not self.relies_on_peers(now)
        )

    def is_substitute(self, now: float) -> bool:
        """Whether this VM follows the store in place of the readers."""
        max_age_s = self._reader_watch_s + readers.STATUS_MARGIN_S
        return (
            self._has_taken_over
            and self.failing_since is None
            and now - self.answered_at < max_age_s
        )

    async def _step_unless_overtaken(self) -> bool:
        """Runs a step; returns whether it completed.

        A step is cancelled when newer rows arrive from a peer: the store's
        answer may take seconds to arrive, as it contains each version that was
        missed, and would compete with newer rows for bandwidth.
        """
        self._step_timeout = timeout = asyncio.timeout(None)
        try:
            async with timeout:
                await self._step()
        except TimeoutError:
            if not timeout.expired():
                raise
            self._next_reason = store_polling.Reason.OVERTAKEN
            return False
        finally:
            self._step_timeout = None
        return True

    def call_anew(self, now: float, min_age_s: float) -> bool:
        """Replaces a long poll whose answer is overdue by a call without wait.

        Not before the call that replaced an earlier one has succeeded, and not
        while an answer may be arriving as slowly as to that call: its bytes
        would be sent in vain.

        Args:
            now: The time.
            min_age_s: Younger calls may still be answered, in seconds.

        Returns:
            Whether a call was replaced.
        """
        began_at = self._long_poll_began_at
        if began_at is None or self._has_unanswered_call:
            return False
        if now - began_at <= min_age_s + self._answer_s:
            return False
        if now - self._called_anew_at < store_polling.CALL_ANEW_INTERVAL_S:
            return False
        self._called_anew_at = now
        self._has_unanswered_call = True
        self._cancel_step()
        self._asks_at_once = True
        return True

    def _cancel_step(self) -> None:
        if self._step_timeout is not None and not self._asks_at_once:
            self._step_timeout.reschedule(asyncio.get_running_loop().time())
            self._step_timeout = None

    async def _step(self) -> None:
        if not self.is_loaded:
            await self._reload()
            return
        asked_at = clocks.monotonic()
        changes = await self._ask_for_changes(asked_at)
        if changes is None:
            logs.logger.info(
                "change history expired, reading the whole table",
                table=self.name,
                known=self.version,
            )
            self._next_reason = store_polling.Reason.EXPIRED
            await self._reload()
            return
        self._record_store_version(changes.version)
        if changes.version < self.version:
            # A peer's rows arrived first. They include these, and the removal
            # of some of them.
            return
        self._record_answer(asked_at)
        self._merge_rows(changes.rows)
        self._record_version(changes.version)
        if changes.rows:
            # Changes during the pause come with the next call.
            self._next_reason = store_polling.Reason.CHANGE
            await asyncio.sleep(self._pause_after_change_s())

    def _record_store_version(self, version: int) -> None:
        self.store_version = max(self.store_version, version)
        self.store_answered_at = clocks.monotonic()

    async def _ask_for_changes(self, now: float) -> interfaces.Snapshot | None:
        watch_s = 0.0 if self._asks_at_once else self._watch_s()
        self._count_call()
        self._long_poll_began_at = now if watch_s else None
        try:
            changes = await self._table.wait_for_changes(self.version, watch_s)
            self._has_unanswered_call = False
            if not watch_s:
                self._answer_s = clocks.monotonic() - now
            return changes
        finally:
            self._long_poll_began_at = None
            if not watch_s:
                self._asks_at_once = False

    async def _reload(self) -> None:
        asked_at = self.version
        self._count_call()
        snapshot = await self._table.read_all()
        self._record_store_version(snapshot.version)
        if self.is_loaded and asked_at <= snapshot.version < self.version:
            # A peer's rows arrived first, and the store's answer wasn't stale.
            return
        self.earliest_change_at = self._complete_until
        self._replace_rows(snapshot)
        self._complete_until = clocks.monotonic()

    def _record_answer(self, asked_at: float) -> None:
        """Records that the store has returned all changes up to now.

        A long poll is answered as soon as there is a change. What an earlier
        answer contains may have been in the store since the answer before it.
        """
        now = clocks.monotonic()
        was_waiting = (
            self.failing_since is None
            and now - asked_at > freshness.ANSWER_MARGIN_S
        )
        self.earliest_change_at = now if was_waiting else self._complete_until
        self._complete_until = now

    def _max_backoff_s(self) -> float:
        store_readers, now = self._readers, clocks.monotonic()
        longest_s = MAX_BACKOFF_WITH_READERS_S
        if store_readers is None or store_readers.is_reader(now):
            longest_s = MAX_BACKOFF_S
            if self._turns is not None and self._turns.has_turns(now):
                longest_s = MAX_BACKOFF_WITH_TURNS_S
        return self._outage.max_backoff_s(self.name, longest_s)

    def _watch_s(self) -> float:
        now = clocks.monotonic()
        if self.failing_since is not None:
            # A long poll would delay the notice of the store's recovery.
            return 0.0
        if self._readers is None or not self._readers.is_large_domain(now):
            return WATCH_S
        return self._reader_watch_s

    def _pause_after_change_s(self) -> float:
        if clocks.monotonic() - self._started < STARTUP_S:
            return max(self._batch_s, STARTUP_BATCH_S)
        return self._batch_s

    def _count_call(self) -> None:
        reason = self._next_reason
        if not self.is_loaded:
            reason = store_polling.Reason.START
        elif self.failing_since is not None:
            reason = store_polling.Reason.OUTAGE
        elif self._asks_at_once:
            reason = store_polling.Reason.OVERDUE
        self._next_reason = store_polling.Reason.POLL
        self._store_calls.add(f"{self.name}-{reason.value}")

    def follows_peers(self, now: float) -> bool:
        """Whether peers publish newer rows, so that the store isn't called."""
        return self.relies_on_peers(now) and not self.is_lagging(now)

    def relies_on_peers(self, now: float) -> bool:
        """Whether peers are responsible for reading the store, and do so."""
        if self._readers is None or not self.is_loaded:
            return False
        arguments = [self.name, self._reader_watch_s, now]
        if self._turns is not None:
            arguments.append(self.is_substitute(now))
        return not self._readers.must_read_store(*arguments)

    def is_lagging(self, now: float) -> bool:
        """Whether a row that a peer published is overdue."""
        return self._freshness.is_lagging(now)

    def is_current(self, now: float) -> bool:
        """Whether a missing row may be reported as final, as far as is known.

        It may not while calls fail, while a row is missing that a peer
        published, and after the last status has expired. A call that waits
        counts as "no change" only after one that was answered: the first one
        after a failure, or after peers' status expired, proves nothing yet.
        `contact_at` can't decide this: a call that succeeded was sent up to a
        whole long poll before its answer, and the next one waits as long.
        """
        return self.failing_since is None and self._freshness.is_current(now)

    def record_reported_version(self, version: int, now: float) -> None:
        """Records that a peer published a row of a version."""
        self._freshness.record_reported_version(version, now)

    def record_progress(self, now: float) -> None:
        """Records that part of the rows that a peer published has arrived."""
        self._freshness.record_progress(now)

    def _record_version(self, version: int) -> None:
        self.version = max(self.version, version)
        self._freshness.record_version(version, clocks.monotonic())

    def published_status(self, now: float) -> reports.TableStatus | None:
        """Returns the status to publish to peers; None if there is none."""
        if not self._should_publish(now):
            return None
        if self.failing_since is not None:
            is_new = now - self._rows.newest_at <= ANNOUNCE_S
            if not is_new and not self._reads_for_turns(now):
                return None
            # Others can fetch these rows here, but may not rely on this VM.
            return reports.TableStatus(
                self._rows.newest_version, UNRELIABLE_AGE_S
            )
        if self.follows_peers(now):
            return None
        age_s = round(now - self.answered_at, 2)
        return reports.TableStatus(self._rows.newest_version, age_s)

    def _reads_for_turns(self, now: float) -> bool:
        """Whether VMs that take turns rely on this VM's rows in an outage.

        Only readers ask VMs of other domains then. A VM that missed a row
        learns of it by the versions that they publish.
        """
        if self._turns is None or self._readers is None or not self.is_loaded:
            return False
        return self._readers.always_reads(now) and self._turns.has_turns(now)

    def _should_publish(self, now: float) -> bool:
        """Whether peers rely on this VM's status, or may lack new rows."""
        if self._readers is not None and self._readers.is_large_domain(now):
            return True
        return (
            self._announces_changes and now - self._rows.newest_at <= ANNOUNCE_S
        )

    def _record_peer_coverage(self, now: float) -> None:
        if not self._freshness.is_behind():
            # A reader's status is never older than this.
            age_s = self._reader_watch_s + readers.STATUS_MARGIN_S
            self.contact_at = max(self.contact_at, now - age_s)
            self._complete_until = max(self._complete_until, now - age_s)
            self._freshness.record_peer_status(until=now + PEER_TRUST_S)
        self._record_recovery(now)

    def accept(self, snapshot: interfaces.Snapshot, is_whole: bool) -> None:
        """Applies rows from a peer, unless newer ones are known.

        Args:
            snapshot: The rows.
            is_whole: Whether all rows are listed, and not just changes.
        """
        if snapshot.version <= self.version:
            return
        generation = store_versions.generation_of(snapshot.version)
        if not is_whole and generation != self.generation:
            return
        self._cancel_step()
        self._record_peer_rows(clocks.monotonic())
        if is_whole:
            self._replace_rows(snapshot)
        else:
            self._merge_rows(snapshot.rows)
            self._record_version(snapshot.version)

    @property
    def newest_change(self) -> int:
        """Version after which no row changed, or may have changed unseen."""
        return self._rows.newest_change

    def _record_peer_rows(self, now: float) -> None:
        """Updates `earliest_change_at` for rows that arrive from a peer."""
        if not self.is_loaded:
            self.earliest_change_at = float("-inf")
            return
        behind_since = self._freshness.behind_since
        published_at = now if behind_since is None else behind_since
        self.earliest_change_at = published_at - PEER_REPORT_DELAY_S

    def changes_since(self, version: int) -> list[interfaces.Change] | None:
        """Returns the changes after a version; None if they aren't known."""
        return self._rows.changes_since(version)

    def _replace_rows(self, snapshot: interfaces.Snapshot) -> None:
        if snapshot.version < self.version:
            logs.logger.info(
                "older rows refused",
                table=self.name,
                known=self.version,
                received=snapshot.version,
            )
            raise errors.PlatformUnavailableError(
                f"read of version {snapshot.version} after {self.version}",
                step="read table",
                peer=self.name,
            )
        generation = store_versions.generation_of(snapshot.version)
        if self.is_loaded and generation > self.generation:
            self._begin_generation(snapshot)
        removed = self._rows.removals_by(snapshot)
        self._record_version(snapshot.version)
        try:
            self._merge_rows(snapshot.rows + removed)
        finally:
            self.is_returning = False
        if not self.is_loaded:
            self.is_loaded = True
            self.recovered_at = clocks.monotonic()

    @property
    def generation(self) -> store_versions.Generation:
        """The generation of the store that the rows are from."""
        return store_versions.generation_of(self.version)

    def _begin_generation(self, snapshot: interfaces.Snapshot) -> None:
        self.is_returning = True
        self.generation_seen_at = clocks.monotonic()
        logs.logger.warning(
            "table returned from an older copy",
            table=self.name,
            generation=store_versions.generation_of(snapshot.version),
            known=store_versions.number_of(self.version),
            received=store_versions.number_of(snapshot.version),
            rows=len(snapshot.rows),
        )
        self._rows.forget_removed()

    def _merge_rows(self, changes: list[interfaces.Change]) -> None:
        newer = self._rows.merge(changes)
        if newer:
            self._apply(newer)

    def _record_failure(self, error: errors.PlatformError) -> None:
        now = clocks.monotonic()
        self._outage.record_failure(self.name, now)
        if self.failing_since is None:
            self.failing_since = now
            logs.logger.warning("table lost", table=self.name, error=str(error))

    def _record_contact(self, sent: float) -> None:
        self.contact_at = sent
        if self.failing_since is not None and self._turns is not None:
            self._has_taken_over = True
            if self.waits_for_turns(clocks.monotonic()):
                logs.logger.info(
                    "store followed in place of the readers",
                    table=self.name,
                    turn=self._turns.number,
                )
        self.answered_at = self._outage.reached_at = clocks.monotonic()
        self._record_recovery(self.answered_at)
        self._freshness.record_answer(self.answered_at, self._watch_s())

    def _record_recovery(self, now: float) -> None:
        self._outage.record_answer(self.name)
        if self.failing_since is not None:
            logs.logger.info(
                "table regained",
                table=self.name,
                version=self.version,
                after_s=round(now - self.failing_since, 3),
            )
            self.recovered_at = now
            self.failing_since = None

    def failing_s(self, now: float) -> float:
        """Returns the duration of failing calls, in seconds; 0 if none fail."""
        return 0.0 if self.failing_since is None else now - self.failing_since

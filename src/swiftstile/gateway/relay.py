"""Fetches rows of the platform's store from peers.

The store may reject some VMs while it serves the others, and in a large failure
domain only a few VMs read it. Versions of rows only increase, so a peer's copy
is as valid as the store's, only older.
"""

import asyncio

from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile import metrics
from swiftstile import pacing
from swiftstile.gateway import follow
from swiftstile.gateway import gossip
from swiftstile.gateway import interfaces
from swiftstile.gateway import reports
from swiftstile.gateway import transfers
from swiftstile.peers import links
from swiftstile.peers import messages

__all__ = ["RowRelay"]

# A table is fetched from a peer once calls to the store have failed for this
# long, which is longer than single lost answers take.
STORE_TIMEOUT_S = 0.5
# A VM that waits for its turn to call the store asks VMs of other domains once
# no VM of its domain has published a version of the table for this long: five
# reports. VMs of earlier builds don't publish versions during long outages.
MAX_SILENCE_S = 1.0
# Interval of fetches while the store doesn't answer.
RETRY_INTERVAL_S = 0.4
# Timeout of the first request for a piece of a peer's answer.
PIECE_TIMEOUT_S = 0.5
# Requests for one further piece before the peer is given up. Each waits twice
# as long as the one before: where many VMs fetch from a peer at once a piece
# isn't lost but queued behind others, and more requests add to that queue.
PIECE_ATTEMPTS = 3
# Concurrent fetches of a table: a second peer is asked only while the next
# piece of the first is late, as both share this VM's link.
MAX_CONCURRENT_FETCHES = 2
# Requests answered concurrently: those of a whole failure domain may arrive at
# once, and each takes little time.
MAX_PARALLEL_REQUESTS = 8


class _Fetch:
    """A fetch of a table from one peer.

    Attributes:
        table: Name of the table.
        address: Address of the peer.
        is_late: A piece of its answer timed out and was requested again.
        task: The task that fetches.
    """

    def __init__(self, table: str, address: str):
        self.table = table
        self.address = address
        self.is_late = False
        self.task: asyncio.Task | None = None


class RowRelay(links.ControlHandler):
    """Fetches rows from peers, and answers their requests.

    Args:
        followers: The followed tables, by name.
        peers: The other VMs.
        calls: Links to them.
        seeds: Addresses to ask while no peer is known.
        meters: Counts fetches by table and result.
    """

    def __init__(
        self,
        followers: dict[str, follow.TableFollower],
        peers: gossip.Peers,
        calls: links.LinkPool,
        seeds: list[str],
        meters: metrics.Meters,
    ):
        self._followers = followers
        self._peers = peers
        self._calls = calls
        self._seeds = seeds
        self._meters = meters
        self._outgoing = transfers.OutgoingRows()
        self._next_peer = 0
        self._fetches: list[_Fetch] = []
        # When a VM of the domain last published a version, by table.
        self._published_at: dict[str, float] = {}

    async def handle(self, message: messages.Message) -> messages.Message:
        """See base class."""
        now = clocks.monotonic()
        if isinstance(message, messages.PieceRequest):
            return self._outgoing.piece(message.number, message.offset, now)
        if not isinstance(message, messages.RowsRequest):
            return messages.Refused("expected ask-rows")
        follower = self._followers.get(message.table)
        if follower is None or not follower.is_loaded:
            return messages.Refused(f"table {message.table} isn't known")
        rows = _changes_for(follower, message.version)
        span = transfers.Span.of(message.table, rows, follower.newest_change)
        return self._outgoing.begin(span, lambda: rows, now)

    def on_report(self, peer: reports.Peer, now: float) -> None:
        """Fetches rows from a near peer whose report has a newer version."""
        for name, status in peer.report.tables.items():
            follower = self._followers.get(name)
            if follower is None or not _has_newer(peer, follower):
                continue
            follower.record_reported_version(status.version, now)
            if _should_ask_peer(follower, now):
                self._start_fetch(peer.row.address, follower)

    def fetch(
        self,
        follower: follow.TableFollower,
        leader: reports.Peer | None,
        now: float,
    ) -> None:
        """Fetches rows from a near VM that is ahead, or else from the leader.

        Args:
            follower: The follower that lacks them.
            leader: The leader, if it is known.
            now: The time.
        """
        near = self._peers.topology.near
        ahead = [
            peer
            for peer in reports.live_peers(near, now)
            if _has_newer(peer, follower)
        ]
        if not ahead and leader is not None:
            ahead = [leader]
        if ahead:
            self._next_peer += 1
            peer = ahead[self._next_peer % len(ahead)]
            self._start_fetch(peer.row.address, follower)

    def _start_fetch(
        self, address: str, follower: follow.TableFollower
    ) -> None:
        """Fetches a table from a peer unless other fetches make progress."""
        fetches = self._fetches_of(follower.name)
        if len(fetches) >= MAX_CONCURRENT_FETCHES or not all(
            fetch.is_late for fetch in fetches
        ):
            return
        if address in {fetch.address for fetch in fetches}:
            return
        fetch = _Fetch(follower.name, address)
        fetch.task = asyncio.create_task(self._ask(fetch, follower))
        self._fetches.append(fetch)
        fetch.task.add_done_callback(lambda _: self._fetches.remove(fetch))

    def _fetches_of(self, table: str) -> list[_Fetch]:
        return [fetch for fetch in self._fetches if fetch.table == table]

    def _cancel_others(self, fetch: _Fetch) -> None:
        """Cancels fetches that the answer to another one made redundant."""
        for other in self._fetches_of(fetch.table):
            if other is not fetch:
                other.task.cancel()

    async def run(self) -> None:
        """Fetches from peers while calls to the store fail, until cancelled."""
        while True:
            await pacing.sleep_aligned(RETRY_INTERVAL_S)
            now = clocks.monotonic()
            # Tables are fetched independently: a large one doesn't delay the
            # others.
            for follower in self._followers.values():
                if follower.failing_s(now) <= STORE_TIMEOUT_S:
                    continue
                address = self._choose(follower, now)
                if address is not None:
                    self._start_fetch(address, follower)

    def _choose(self, follower: follow.TableFollower, now: float) -> str | None:
        """Returns the address of a peer to ask, in round-robin order."""
        addresses = {fetch.address for fetch in self._fetches_of(follower.name)}
        live = [
            peer
            for peer in self._peers.live_peers(now)
            if peer.row.address not in addresses
        ]
        with_store = [p for p in live if p.report.store_unresponsive_s == 0]
        if follower.waits_for_turns(now):
            others = self._others_in_turns(follower, live, with_store, now)
        else:
            near = self._near(with_store)
            # Other VMs of the domain may rely on readers, too, and have no
            # newer rows.
            ahead = [p for p in near if _has_newer(p, follower)]
            others = ahead or near or with_store
        candidates = [peer.row.address for peer in others]
        if not candidates and not self._peers.by_node:
            candidates = self._seeds
        if not candidates:
            return None
        self._next_peer += 1
        return candidates[self._next_peer % len(candidates)]

    def _others_in_turns(
        self,
        follower: follow.TableFollower,
        live: list[reports.Peer],
        with_store: list[reports.Peer],
        now: float,
    ) -> list[reports.Peer]:
        """Returns the VMs to choose from where VMs take turns.

        The readers ask on behalf of all. They publish what they have though
        their own calls fail.
        """
        name = follower.name
        near = self._near(live)
        if any(name in peer.report.tables for peer in near):
            self._published_at[name] = now
        ahead = [peer for peer in near if _has_newer(peer, follower)]
        silent_s = min(
            now - self._published_at.get(name, float("-inf")),
            follower.failing_s(now),
        )
        if silent_s > MAX_SILENCE_S:
            return ahead or with_store
        return ahead or self._near(with_store)

    def _near(self, peers: list[reports.Peer]) -> list[reports.Peer]:
        """Returns those of a list of VMs that are in this VM's domain."""
        return [p for p in peers if p.row.domain == self._peers.me.domain]

    async def _ask(self, fetch: _Fetch, follower: follow.TableFollower) -> None:
        began = clocks.monotonic()
        address = fetch.address
        try:
            rows = await self._fetch(fetch, follower)
            if rows.version <= follower.version:
                self._meters.rows.add(f"{follower.name}-nothing-newer")
                return
            changes = [
                interfaces.Change(row.key, row.value, row.version)
                for row in rows.rows
            ]
            snapshot = interfaces.Snapshot(changes, rows.version)
            follower.accept(snapshot, rows.is_whole)
            self._cancel_others(fetch)
        except errors.SwiftstileError as error:
            self._meters.rows.add(f"{follower.name}-failed")
            logs.logger.info(
                "rows not relayed",
                table=follower.name,
                peer=address,
                known=follower.version,
                after_s=round(clocks.monotonic() - began, 3),
                error=str(error),
            )
            return
        self._meters.rows.add(f"{follower.name}-relayed")
        logs.logger.info(
            "rows from a peer",
            table=follower.name,
            peer=address,
            version=rows.version,
            bytes=sum(len(row.value or b"") for row in rows.rows),
            after_s=round(clocks.monotonic() - began, 3),
        )

    async def _fetch(
        self, fetch: _Fetch, follower: follow.TableFollower
    ) -> messages.Rows:
        link = self._calls.to(fetch.address)
        message = messages.RowsRequest(follower.name, follower.version)
        # Sent once: another peer may answer faster than one that timed out.
        first = await link.call(message, messages.Piece, PIECE_TIMEOUT_S)
        incoming = transfers.IncomingRows(first)
        while not incoming.is_whole:
            # The store wouldn't be faster than an answer that is already
            # arriving.
            follower.record_progress(clocks.monotonic())
            incoming.add(await self._next_piece(link, fetch, incoming))
            fetch.is_late = False
        return incoming.rows()

    @staticmethod
    async def _next_piece(
        link: links.Link,
        fetch: _Fetch,
        incoming: transfers.IncomingRows,
    ) -> messages.Piece:
        message = messages.PieceRequest(incoming.number, incoming.received)
        timeout_s = PIECE_TIMEOUT_S
        for _ in range(PIECE_ATTEMPTS - 1):
            try:
                return await link.call(message, messages.Piece, timeout_s)
            except errors.PeerTimeoutError as error:
                # The pieces received before are kept.
                logs.logger.info(
                    "rows not received in time, asking again", error=str(error)
                )
                fetch.is_late = True
                timeout_s *= 2
        return await link.call(message, messages.Piece, timeout_s)


def _should_ask_peer(follower: follow.TableFollower, now: float) -> bool:
    """Whether to fetch newer rows from a peer as well as from the store.

    Not while this VM reads the store and the store answers: its answer is on
    the way, unless it is overdue. But the first answer, and an answer to a VM
    that relies on peers otherwise, may contain much that isn't needed and
    arrive over a narrow link.
    """
    if follower.failing_since is not None or not follower.is_loaded:
        return True
    return follower.relies_on_peers(now) or follower.is_lagging(now)


def _has_newer(peer: reports.Peer, follower: follow.TableFollower) -> bool:
    """Whether a peer published a row that a follower of a table lacks."""
    status = peer.report.tables.get(follower.name)
    return status is not None and status.version > follower.version


def _changes_for(follower: follow.TableFollower, version: int) -> messages.Rows:
    """Returns the rows that a peer lacks that knows a version."""
    if follower.version <= version:
        return messages.Rows([], version, False)
    changed = follower.changes_since(version)
    is_whole = changed is None
    rows = [
        messages.Row(row.key, row.value, row.version)
        for row in (follower.rows.values() if is_whole else changed)
    ]
    return messages.Rows(rows, follower.version, is_whole)

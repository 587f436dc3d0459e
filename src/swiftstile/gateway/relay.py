"""Rows of the platform's store from peers.

The store may refuse some VMs while it serves the others, and where many VMs
share a failure domain only a few of them follow it. Rows only move forward by
their versions, so a peer's copy is as good as the store's, only older.
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

# A table is asked of a peer after the store was silent this long: longer than
# single lost answers take.
SILENT_S = 0.5
# Between two questions.
INTERVAL_S = 0.4
# Longest wait for one piece of a peer's answer, when it is asked for first.
TIMEOUT_S = 0.5
# A further piece is asked for so often before the peer is given up. Each time
# it is waited for twice as long: where many fetch from a peer at the same time,
# it isn't lost but on its way behind others, and asking again adds to those.
PIECE_TRIES = 3
# Peers asked for a table at the same time: a second one only while the first
# one's next piece is late, as both share this VM's link.
MOST_ASKED = 2
# Questions answered at the same time: those of a failure domain may come all
# at once, and each is short.
PARALLEL = 8


class _Question:
    """One question to a peer for a table.

    Attributes:
        table: Name of the table.
        address: The peer.
        is_late: A piece of its answer didn't come in time, and is asked for
            again.
        task: Asks.
    """

    def __init__(self, table: str, address: str):
        self.table = table
        self.address = address
        self.is_late = False
        self.task: asyncio.Task | None = None


class RowRelay(links.ControlHandler):
    """Asks peers for rows, and answers theirs.

    Args:
        followers: The followed tables, by name.
        peers: The other VMs.
        calls: Links to them.
        seeds: Addresses to ask while no peer is known.
        meters: Counts questions by table and result.
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
        self._turn = 0
        self._asking: list[_Question] = []

    async def handle(self, message: messages.Message) -> messages.Message:
        """See base class."""
        now = clocks.monotonic()
        if isinstance(message, messages.ChunkRequest):
            return self._outgoing.piece(message.number, message.offset, now)
        if not isinstance(message, messages.RowsRequest):
            return messages.Refused("expected ask-rows")
        follower = self._followers.get(message.table)
        if follower is None or not follower.is_loaded:
            return messages.Refused(f"table {message.table} isn't known")
        rows = _rows_since(follower, message.version)
        span = transfers.Span.of(message.table, rows, follower.newest_change)
        return self._outgoing.begin(span, lambda: rows, now)

    def note(self, peer: reports.Peer, now: float) -> None:
        """Asks a near peer for rows if it just told of newer ones."""
        for name, told in peer.report.tables.items():
            follower = self._followers.get(name)
            if follower is None or not _tells_newer(peer, follower):
                continue
            follower.note_told(told.version, now)
            if _may_be_quicker(follower, now):
                self._begin_asking(peer.row.address, follower)

    def _begin_asking(
        self, address: str, follower: follow.TableFollower
    ) -> None:
        """Asks a peer for a table, unless one is being asked that answers."""
        asked = self._asked(follower.name)
        if len(asked) >= MOST_ASKED or not all(q.is_late for q in asked):
            return
        if address in {question.address for question in asked}:
            return
        question = _Question(follower.name, address)
        question.task = asyncio.create_task(self._ask(question, follower))
        self._asking.append(question)
        question.task.add_done_callback(lambda _: self._asking.remove(question))

    def _asked(self, table: str) -> list[_Question]:
        return [q for q in self._asking if q.table == table]

    def _end_others(self, question: _Question) -> None:
        """Ends questions that another one's answer made needless."""
        for other in self._asked(question.table):
            if other is not question:
                other.task.cancel()

    async def run(self) -> None:
        """Asks whenever the store is silent, until cancelled."""
        while True:
            await pacing.sleep_aligned(INTERVAL_S)
            now = clocks.monotonic()
            # Each on its own: a large table doesn't hold up the others.
            for follower in self._followers.values():
                if follower.silent_s(now) <= SILENT_S:
                    continue
                address = self._choose(follower, now)
                if address is not None:
                    self._begin_asking(address, follower)

    def _choose(self, follower: follow.TableFollower, now: float) -> str | None:
        """Returns the address of a peer to ask, each in its turn."""
        asked = {question.address for question in self._asked(follower.name)}
        served = [
            peer
            for peer in self._peers.heard(now)
            if peer.report.store_silent_s == 0 and peer.row.address not in asked
        ]
        near = [p for p in served if p.row.domain == self._peers.me.domain]
        # Others may rely on them as well, and know no more than this VM.
        ahead = [p for p in near if _tells_newer(p, follower)]
        pool = [peer.row.address for peer in ahead or near or served]
        if not pool and not self._peers.by_node:
            pool = self._seeds
        if not pool:
            return None
        self._turn += 1
        return pool[self._turn % len(pool)]

    async def _ask(
        self, question: _Question, follower: follow.TableFollower
    ) -> None:
        began = clocks.monotonic()
        address = question.address
        try:
            told = await self._fetch(question, follower)
            if told.version <= follower.version:
                self._meters.rows.add(f"{follower.name}-nothing-newer")
                return
            changes = [
                interfaces.Change(row.key, row.value, row.version)
                for row in told.rows
            ]
            snapshot = interfaces.Snapshot(changes, told.version)
            follower.accept(snapshot, told.is_whole)
            self._end_others(question)
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
            version=told.version,
            bytes=sum(len(row.value or b"") for row in told.rows),
            after_s=round(clocks.monotonic() - began, 3),
        )

    async def _fetch(
        self, question: _Question, follower: follow.TableFollower
    ) -> messages.Rows:
        link = self._calls.to(question.address)
        message = messages.RowsRequest(follower.name, follower.version)
        # Tried once: another peer may be quicker than one that is silent.
        first = await link.call(message, messages.Chunk, TIMEOUT_S)
        incoming = transfers.IncomingRows(first)
        while not incoming.is_whole:
            # The store would not be quicker than what is already coming.
            follower.note_progress(clocks.monotonic())
            incoming.add(await self._next_piece(link, question, incoming))
            question.is_late = False
        return incoming.rows()

    @staticmethod
    async def _next_piece(
        link: links.Link,
        question: _Question,
        incoming: transfers.IncomingRows,
    ) -> messages.Chunk:
        message = messages.ChunkRequest(incoming.number, incoming.received)
        timeout_s = TIMEOUT_S
        for _ in range(PIECE_TRIES - 1):
            try:
                return await link.call(message, messages.Chunk, timeout_s)
            except errors.PeerTimeoutError as error:
                # What came before it is kept.
                logs.logger.info("piece not relayed", error=str(error))
                question.is_late = True
                timeout_s *= 2
        return await link.call(message, messages.Chunk, timeout_s)


def _may_be_quicker(follower: follow.TableFollower, now: float) -> bool:
    """Whether to ask a peer that has newer rows, besides the store or not.

    Not where the store is followed and answers: its answer is on its way,
    unless it doesn't come for a while. But the first one, and that to a VM that
    relies on peers otherwise, may hold much that isn't needed, and come over a
    narrow link.
    """
    if follower.failing_since is not None or not follower.is_loaded:
        return True
    return follower.relies_on_peers(now) or follower.is_left_behind(now)


def _tells_newer(peer: reports.Peer, follower: follow.TableFollower) -> bool:
    """Whether a peer told of a row that a follower of a table lacks."""
    told = peer.report.tables.get(follower.name)
    return told is not None and told.version > follower.version


def _rows_since(follower: follow.TableFollower, version: int) -> messages.Rows:
    """Returns what a peer that knows a version lacks."""
    if follower.version <= version:
        return messages.Rows([], version, False)
    changed = follower.since(version)
    is_whole = changed is None
    rows = [
        messages.Row(row.key, row.value, row.version)
        for row in (follower.rows.values() if is_whole else changed)
    ]
    return messages.Rows(rows, follower.version, is_whole)

"""Registers this VM in the platform's table and retires unresponsive VMs."""

import asyncio

import msgspec

from swiftstile import clocks
from swiftstile import errors
from swiftstile import logs
from swiftstile import pacing
from swiftstile import settings as settings_lib
from swiftstile.gateway import follow
from swiftstile.gateway import gossip
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import reports
from swiftstile.gateway import settle

__all__ = ["NODE_PREFIX", "Membership", "decode_row"]

NODE_PREFIX = "node/"
# A VM that doesn't report for this long is retired: longer than a restart
# takes.
RETIRE_AFTER_S = 6.0
_TICK_S = 0.1
_RETRY_INTERVAL_S = 1.0


class Membership:
    """Maintains this VM's row and, on the leader, those of unresponsive VMs."""

    def __init__(
        self,
        peers: gossip.Peers,
        table: interfaces.StateTable,
        follower: follow.TableFollower,
    ):
        self._peers = peers
        self._table = table
        self._follower = follower
        self._key = NODE_PREFIX + peers.me.node
        self._registered_row: reports.NodeRow | None = None

    @property
    def is_registered(self) -> bool:
        """Whether this run is registered by the last known row of this VM."""
        known = self._registered_row
        return (
            known is not None
            and known.incarnation == self._peers.me.incarnation
            and not known.is_retired
        )

    def apply(self, change: interfaces.Change) -> None:
        """Applies a change of a VM's row."""
        row = None
        if change.value is not None:
            row = decode_row(change)
        node = model.NodeId(change.key.removeprefix(NODE_PREFIX))
        if node == self._peers.me.node:
            self._registered_row = row
            return
        now = clocks.monotonic()
        known = self._peers.by_node.get(node)
        if self._follower.is_returning and known is not None:
            row = self._returned_row(row, known, now)
            if row is None:
                return
        self._peers.apply(row, node, now)
        logs.logger.info(
            "peer registered",
            peer_node=node,
            incarnation=row.incarnation if row else "",
            retired=row.is_retired if row else True,
        )

    @staticmethod
    def _returned_row(
        row: reports.NodeRow | None, known: reports.Peer, now: float
    ) -> reports.NodeRow | None:
        """Returns what to believe of a VM by an older copy of the store.

        None to keep what is known: a VM that is live registers again. Any other
        one stays in the quorum for a while.
        """
        is_older = row is None or row.incarnation != known.row.incarnation
        if not is_older:
            return row
        if known.is_live(now):
            return None
        return msgspec.structs.replace(known.row, is_retired=True)

    async def run(self) -> None:
        """Registers this VM whenever it isn't registered, until cancelled."""
        while True:
            await pacing.sleep_aligned(_TICK_S)
            if not self._follower.is_loaded or self.is_registered:
                continue
            if not await self._write(self._key, self._peers.me):
                await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _write(self, key: str, row: reports.NodeRow) -> bool:
        known = self._follower.rows.get(key)
        version = interfaces.NEW_ROW if known is None else known.version
        value = msgspec.msgpack.encode(row)
        try:
            version = await settle.settled_write(
                self._table,
                [interfaces.Condition(key, version)],
                interfaces.Write(key, value),
            )
        except errors.PlatformError as error:
            logs.logger.info("registration not written", error=str(error))
            return False
        self.apply(interfaces.Change(key, value, version))
        return True

    async def retire_unresponsive(self) -> None:
        """Retires VMs that haven't reported for long; called by the leader."""
        if self._follower.failing_since is not None:
            return
        now = clocks.monotonic()
        for peer in list(self._peers.by_node.values()):
            last = max(peer.received_at, peer.run_began_at)
            if not peer.row.is_retired and now - last > RETIRE_AFTER_S:
                retired = msgspec.structs.replace(peer.row, is_retired=True)
                await self._write(NODE_PREFIX + peer.row.node, retired)


def decode_row(change: interfaces.Change) -> reports.NodeRow:
    """Returns the row of a VM.

    Raises:
        ControlMessageError: It is malformed, or nothing can be sent to it.
    """
    try:
        row = msgspec.msgpack.decode(change.value, type=reports.NodeRow)
        host, port = settings_lib.split_address(row.address)
        if port == 0 or not (host.isascii() and host.isprintable()):
            raise ValueError(f"not an address: {row.address!r}")
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.ControlMessageError(
            str(error), step="decode row of a VM", peer=change.key
        ) from error
    return row

"""Protects upstreams from requests that crash them.

Detects whether an upstream crashed when an exchange broke, and applies the
resulting decisions of `suspects.py`.
"""

import asyncio

from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import causes
from swiftstile.gateway import connections
from swiftstile.gateway import fingerprint
from swiftstile.gateway import gossip
from swiftstile.gateway import outcomes
from swiftstile.gateway import sharing
from swiftstile.gateway import suspects as suspects_lib
from swiftstile.gateway import targets

__all__ = ["CrashWatch"]

# Requests with bodies up to this size are always hashed, to remember which ones
# were answered.
MOST_LOOKED_AT_BYTES = 1 << 14


class CrashWatch:
    """Detects crashes and rejects the requests that cause them.

    Args:
        book: Suspects that are known to all VMs.
        peers: The other VMs.
        pool: Opens connections to upstreams.
        meters: Counts suspects and rejections.
    """

    def __init__(
        self,
        book: suspects_lib.Suspects,
        peers: gossip.Peers,
        pool: connections.ConnectionPool,
        meters: metrics.Meters,
    ):
        self._book = book
        self._peers = peers
        self._pool = pool
        self._meters = meters
        self._looks_by_address: dict[str, asyncio.Task[bool]] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any request is a suspect."""
        return len(self._book) > 0

    def remembers(self, body_bytes: int) -> bool:
        """Whether it is worth the time to remember that a request was answered.

        Args:
            body_bytes: Size of its body. Requests with large bodies are rarely
                repeated.
        """
        return self.has_suspects or body_bytes <= MOST_LOOKED_AT_BYTES

    def check(self, digest: fingerprint.Digest, now: float) -> bool:
        """Raises an error if a request must not be sent.

        Returns:
            Whether it is a probe, sent to test if it still crashes upstreams.

        Raises:
            CrashingRequestError: It must not be sent to any upstream.
        """
        verdict = self._book.verdict(digest, now, self._is_trier(digest))
        if verdict is suspects_lib.Verdict.REFUSE:
            self._meters.crashes.add("refused")
            raise self._refusal(digest, now)
        if verdict is suspects_lib.Verdict.TRY:
            self._meters.crashes.add("tried")
            logs.logger.info("crashing request tried", request=digest.hex())
            return True
        return False

    def _refusal(
        self, digest: fingerprint.Digest, now: float
    ) -> outcomes.CrashingRequestError:
        crashes = self._book.crashes(digest)
        error = outcomes.CrashingRequestError(
            f"{crashes} upstreams fell while they had request {digest.hex()}",
            step="look for suspects",
        )
        error.retry_after_s = self._book.refused_for_s(digest, now)
        return error

    async def fell(self, target: targets.Target) -> bool:
        """Returns whether an upstream whose connection broke has crashed.

        A planned exit isn't a crash. An unreachable upstream may be partitioned
        from this VM; only a refused connection shows that nothing runs there.
        """
        if target.leaving_since is not None:
            return False
        address = target.upstream.address
        look = self._looks_by_address.get(address)
        if look is None:
            look = asyncio.create_task(self._pool.refuses_connections(address))
            self._looks_by_address[address] = look
            look.add_done_callback(
                lambda _: self._looks_by_address.pop(address, None)
            )
        return await asyncio.shield(look) and target.leaving_since is None

    def note_crash(
        self,
        digest: fingerprint.Digest,
        target: targets.Target,
        sent_s: float,
        now: float,
    ) -> None:
        """Records that an upstream crashed while it had a request.

        Args:
            digest: The request.
            target: The upstream.
            sent_s: Time from sending the request to the crash, in seconds.
            now: The current time.
        """
        upstream = target.upstream
        crash = causes.crash_id(upstream.id, upstream.started_ms)
        self._book.note_crash(digest, crash, sent_s, now)
        self._meters.crashes.add("suspected")
        logs.logger.info(
            "request suspected of a crash",
            request=digest.hex(),
            upstream=upstream.id,
            crashes=self._book.crashes(digest),
            is_cause=digest in self._book.blamed(),
        )

    def may_send_again(self, digest: fingerprint.Digest) -> bool:
        """Whether a request whose upstream crashed may be sent to another."""
        return self._book.crashes(digest) < suspects_lib.CRASHES_TO_STOP

    def note_answer(self, digest: fingerprint.Digest, now: float) -> None:
        """Records that an upstream answered a request."""
        if self._book.note_answer(digest, now):
            self._meters.crashes.add("cleared")
            logs.logger.info("suspect answered", request=digest.hex())

    def _is_trier(self, digest: fingerprint.Digest) -> bool:
        """Whether this VM is the one that probes a request."""
        name = digest.hex()
        me = self._peers.me.node
        own = sharing.affinity(me, name)
        return all(
            (sharing.affinity(peer.row.node, name), peer.row.node) < (own, me)
            for peer in self._peers.by_node.values()
            if not peer.row.is_retired
        )

"""Protects upstreams from requests that crash them.

Applies the decisions of `suspects.py`.
"""

from swiftstile import logs
from swiftstile import metrics
from swiftstile.gateway import fingerprint
from swiftstile.gateway import gossip
from swiftstile.gateway import outcomes
from swiftstile.gateway import sharing
from swiftstile.gateway import suspects as suspects_lib

__all__ = ["CrashGuard"]

# A VM that has just started waits this long, counted from the start of its
# process, for a peer to tell it which requests crash upstreams.
INFORM_TIMEOUT_S = 1.0
# Requests with bodies up to this size are always hashed, to remember which ones
# were answered.
MAX_HASHED_BODY_BYTES = 1 << 14


class CrashGuard:
    """Rejects the requests that crash upstreams.

    Args:
        suspect_table: Suspects that are known to all VMs.
        peers: The other VMs.
        started: When the process started, on the monotonic clock.
        meters: Counts suspects and rejections.
    """

    def __init__(
        self,
        suspect_table: suspects_lib.SuspectTable,
        peers: gossip.Peers,
        started: float,
        meters: metrics.Meters,
    ):
        self._suspect_table = suspect_table
        self._peers = peers
        self._meters = meters
        self._started = started
        self._is_informed = False

    @property
    def has_suspects(self) -> bool:
        """Whether any request is a suspect."""
        return len(self._suspect_table) > 0

    def is_informed(self, now: float, knows_peers: bool) -> bool:
        """Whether this VM knows which requests crash upstreams.

        A peer repeats this to a VM that has just started, once it receives its
        reports. Before that, the VM would send such a request once more.

        Args:
            now: The current time.
            knows_peers: Whether the registered VMs are known.
        """
        if not self._is_informed:
            is_late = now - self._started > INFORM_TIMEOUT_S
            self._is_informed = is_late or (
                knows_peers and self._peers.is_received(now)
            )
        return self._is_informed

    def should_remember(self, body_bytes: int) -> bool:
        """Whether it is worth the time to remember that a request was answered.

        Args:
            body_bytes: Size of its body. Requests with large bodies are rarely
                repeated.
        """
        return self.has_suspects or body_bytes <= MAX_HASHED_BODY_BYTES

    def check(self, digest: fingerprint.Digest, now: float) -> bool:
        """Raises an error if a request must not be sent.

        Returns:
            Whether it is a probe, sent to test if it still crashes upstreams.

        Raises:
            CrashingRequestError: It must not be sent to any upstream.
        """
        verdict = self._suspect_table.verdict(
            digest, now, self._is_prober(digest)
        )
        if verdict is suspects_lib.Verdict.REJECT:
            self._meters.crashes.add("refused")
            raise self._rejected_error(digest, now)
        if verdict is suspects_lib.Verdict.PROBE:
            self._meters.crashes.add("tried")
            logs.logger.info("crashing request tried", request=digest.hex())
            return True
        return False

    def _rejected_error(
        self, digest: fingerprint.Digest, now: float
    ) -> outcomes.CrashingRequestError:
        crashes = self._suspect_table.possible_crashes(digest)
        error = outcomes.CrashingRequestError(
            f"{crashes} upstreams fell while they had request {digest.hex()}",
            step="look for suspects",
        )
        error.retry_after_s = self._suspect_table.rejected_for_s(digest, now)
        error.request = digest.hex()
        return error

    def may_resend(self, digest: fingerprint.Digest) -> bool:
        """Whether a request whose upstream crashed may be sent to another."""
        return (
            self._suspect_table.possible_crashes(digest)
            < suspects_lib.CRASHES_TO_STOP_RESENDS
        )

    def record_response(self, digest: fingerprint.Digest, now: float) -> None:
        """Records that an upstream answered a request."""
        if self._suspect_table.record_response(digest, now):
            self._meters.crashes.add("cleared")
            logs.logger.info("suspect answered", request=digest.hex())

    def _is_prober(self, digest: fingerprint.Digest) -> bool:
        """Whether this VM is the one that probes a request."""
        name = digest.hex()
        me = self._peers.me.node
        own_affinity = sharing.affinity(me, name)
        return all(
            (sharing.affinity(peer.row.node, name), peer.row.node)
            < (own_affinity, me)
            for peer in self._peers.by_node.values()
            if not peer.row.is_retired
        )

"""Looks up the upstream that owns a key, for the request path."""

import collections.abc

from swiftstile import clocks
from swiftstile import ids
from swiftstile.gateway import admission
from swiftstile.gateway import gossip
from swiftstile.gateway import key_load
from swiftstile.gateway import renewals
from swiftstile.gateway import targets

__all__ = ["KeyOwnerLookup", "KeyOwners"]

# Delay before requests are sent to a new owner: its first grant is sent when
# the map arrives, and takes one or two round trips.
FIRST_GRANT_DELAY_S = 0.03
# Typical time of a hand-over, from the release to the grant to the next owner.
HANDOVER_S = 0.3
# Time to wait for the next grant after an owner reported that it doesn't hold a
# key that isn't leaving.
REGRANT_S = 0.15
# A crashed or unreachable owner keeps its keys for about one hold.
FAILED_OWNER_S = renewals.HOLD_S
# Wait for an owner while none can be assigned: all upstreams of the service are
# evacuated, or no key map can be written.
UNKNOWN_WAIT_S = float("inf")
# How long the report of an owner that it doesn't hold a key is valid.
MISDIRECTED_TTL_S = 0.5


class KeyOwners:
    """The owners of keys according to the maps in force.

    Args:
        maps: The maps.
        target_table: The upstreams.
        key_load_table: Counts the requests for each slot.
        peers: The other VMs.
        drain_s: How long a leaving owner accepts requests, in seconds.
        can_assign: Returns whether new owners can be assigned, given the time.
    """

    def __init__(
        self,
        maps: renewals.KeyMaps,
        target_table: targets.TargetTable,
        key_load_table: key_load.KeyLoadTable,
        peers: gossip.Peers,
        drain_s: float,
        can_assign: collections.abc.Callable[[float], bool] = lambda now: True,
    ):
        self._can_assign = can_assign
        self._maps = maps
        self._target_table = target_table
        self._key_load_table = key_load_table
        self._peers = peers
        self._drain_s = drain_s
        self._misdirected: dict[
            tuple[ids.ServiceName, int], tuple[int, float]
        ] = {}

    def lookup(self, service: ids.ServiceName, key: int) -> "KeyOwnerLookup":
        """Returns a lookup for one request."""
        return KeyOwnerLookup(self, service, key)

    def count_request(self, waiter: admission.Waiter) -> None:
        """Counts a request for a slot of keys.

        It is counted by the VM that schedules it, as that VM sees all requests
        for an owner. The VMs that the callers are connected to each see too few
        of them to detect a hotspot.
        """
        key_map = self._maps.by_service.get(waiter.service)
        if key_map is not None and waiter.key is not None:
            slot = key_map.index_of(waiter.key)
            self._key_load_table.record_request(
                waiter.service, slot, clocks.monotonic()
            )

    def version(self, service: ids.ServiceName) -> int:
        """Returns the version of a service's map; 0 if there is none."""
        key_map = self._maps.by_service.get(service)
        return 0 if key_map is None else key_map.version

    def owner_name(self, waiter: admission.Waiter) -> str:
        """Returns the owner that the map names for a request's key, or ''."""
        key_map = self._maps.by_service.get(waiter.service)
        if key_map is None or waiter.owner is None or waiter.key is None:
            return ""
        return key_map.slots[key_map.index_of(waiter.key)].owner or ""

    def note_misdirected(
        self, service: ids.ServiceName, key: int, now: float
    ) -> None:
        """Records that the owner reported that it doesn't hold a key."""
        key_map = self._maps.by_service[service]
        index = key_map.index_of(key)
        fence = key_map.slots[index].fence
        self._misdirected[service, index] = (fence, now)

    def find(
        self, service: ids.ServiceName, key: int, now: float
    ) -> tuple[targets.Target | None, float]:
        """Returns the owner, or None and the expected wait for one in s."""
        key_map = self._maps.by_service.get(service)
        if key_map is None:
            return None, self._next_owner_s(service, now)
        index = key_map.index_of(key)
        slot = key_map.slots[index]
        target = self._target_table.by_id.get(slot.owner)
        if target is None or not target.accepts_requests(now, self._drain_s):
            # Checked here rather than by the arbiter, which may learn later
            # that the owner is leaving.
            return None, self._next_owner_s(service, now)
        if target.upstream.has_restarted_since(
            key_map.started_ms.get(slot.owner, 0)
        ):
            # A restarted owner holds nothing until the leader has assigned its
            # slots to it again.
            return None, HANDOVER_S
        changed = self._maps.changed_at[service].get(index, 0.0)
        if now - changed < FIRST_GRANT_DELAY_S:
            return None, changed + FIRST_GRANT_DELAY_S - now
        report = self._misdirected.get((service, index))
        if report is not None:
            fence, at = report
            pause_s = HANDOVER_S if slot.is_leaving else REGRANT_S
            if fence == slot.fence and now - at < pause_s:
                return None, at + pause_s - now
            if now - at > MISDIRECTED_TTL_S or fence != slot.fence:
                del self._misdirected[service, index]
        if target.is_failing and (
            target.is_unregistered or self._is_partitioned(target, now)
        ):
            return None, FAILED_OWNER_S
        if target.is_backing_off(now):
            return None, target.backoff_left_s(now)
        if target.is_penalised(now):
            return None, target.penalty_left_s(now)
        return target, 0.0

    def _next_owner_s(self, service: ids.ServiceName, now: float) -> float:
        """Returns the expected wait for an owner that accepts requests."""
        if (
            self._target_table.evacuated_at
            and not self._target_table.has_active(service)
        ):
            return UNKNOWN_WAIT_S
        return HANDOVER_S if self._can_assign(now) else UNKNOWN_WAIT_S

    def _is_partitioned(self, target: targets.Target, now: float) -> bool:
        """Whether no reports arrive from a target's failure domain.

        If so, it isn't retried: each attempt would block the caller until the
        connection times out.
        """
        return self._peers.is_domain_unreachable(
            target.upstream.failure_domain, now
        )


class KeyOwnerLookup(admission.OwnerLookup):
    """Looks up the owner of one key."""

    def __init__(self, owners: KeyOwners, service: ids.ServiceName, key: int):
        self._owners = owners
        self._service = service
        self._key = key

    def target(self, now: float) -> targets.Target | None:
        """See base class."""
        return self._owners.find(self._service, self._key, now)[0]

    def ready_in_s(self, now: float) -> float:
        """See base class."""
        return self._owners.find(self._service, self._key, now)[1]

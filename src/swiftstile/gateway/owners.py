"""Finds the upstream that owns a key, as the request path sees it."""

from swiftstile import clocks
from swiftstile import ids
from swiftstile.gateway import admission
from swiftstile.gateway import gossip
from swiftstile.gateway import heat
from swiftstile.gateway import renewals
from swiftstile.gateway import targets

__all__ = ["KeyOwners", "OwnerOfKey"]

# A new owner is asked this long after it is known: its first grant goes out
# when the map arrives, and takes a round trip or two.
FIRST_GRANT_S = 0.03
# A hand-over takes about this long from the release to the next owner.
HAND_OVER_S = 0.3
# After an owner said that it doesn't hold a key that isn't leaving, its next
# grant is waited for.
REGRANT_S = 0.15
# An owner that is lost keeps its keys for about one hold.
LOST_OWNER_S = renewals.HOLD_S
# With all upstreams of a service evacuated, its keys get no owner until the
# operator takes a failure domain back.
NO_UPSTREAM_S = float("inf")
# How long the word of an owner that it doesn't hold a key counts.
MISDIRECTED_LIFE_S = 0.5


class KeyOwners:
    """Owners of keys by the maps in force.

    Args:
        maps: The maps.
        book: The upstreams.
        heat_book: Counts how often slots are asked for.
        peers: The other VMs.
        drain_s: How long a leaving owner takes requests, in seconds.
    """

    def __init__(
        self,
        maps: renewals.KeyMaps,
        book: targets.TargetBook,
        heat_book: heat.HeatBook,
        peers: gossip.Peers,
        drain_s: float,
    ):
        self._maps = maps
        self._book = book
        self._heat = heat_book
        self._peers = peers
        self._drain_s = drain_s
        self._misdirected: dict[
            tuple[ids.ServiceName, int], tuple[int, float]
        ] = {}

    def lookup(self, service: ids.ServiceName, key: int) -> "OwnerOfKey":
        """Returns a lookup for one request."""
        return OwnerOfKey(self, service, key)

    def note_demand(self, waiter: admission.Waiter) -> None:
        """Counts a request for a slot of keys.

        Whoever decides on it counts it: one VM sees all requests for an owner,
        while each of many callers' VMs sees too few of them to tell a hotspot.
        """
        key_map = self._maps.by_service.get(waiter.service)
        if key_map is not None and waiter.key is not None:
            slot = key_map.index_of(waiter.key)
            self._heat.note(waiter.service, slot, clocks.monotonic())

    def version(self, service: ids.ServiceName) -> int:
        """Returns the version of a service's map; 0 if there is none."""
        key_map = self._maps.by_service.get(service)
        return 0 if key_map is None else key_map.version

    def note_misdirected(
        self, service: ids.ServiceName, key: int, now: float
    ) -> None:
        """The owner said that it doesn't hold a key."""
        key_map = self._maps.by_service[service]
        index = key_map.index_of(key)
        fence = key_map.slots[index].fence
        self._misdirected[service, index] = (fence, now)

    def find(
        self, service: ids.ServiceName, key: int, now: float
    ) -> tuple[targets.Target | None, float]:
        """Returns the owner, or None and when there is likely to be one."""
        key_map = self._maps.by_service.get(service)
        if key_map is None:
            return None, self._next_owner_s(service)
        index = key_map.index_of(key)
        slot = key_map.slots[index]
        target = self._book.by_id.get(slot.owner)
        if target is None or not target.takes_requests(now, self._drain_s):
            # Not left to who permits its slots: another VM may have heard later
            # that it leaves.
            return None, self._next_owner_s(service)
        if target.upstream.is_life_after(key_map.started_ms.get(slot.owner, 0)):
            # It holds nothing until the leader gave it its slots once more.
            return None, HAND_OVER_S
        changed = self._maps.changed_at[service].get(index, 0.0)
        if now - changed < FIRST_GRANT_S:
            return None, changed + FIRST_GRANT_S - now
        refused = self._misdirected.get((service, index))
        if refused is not None:
            fence, at = refused
            pause_s = HAND_OVER_S if slot.is_leaving else REGRANT_S
            if fence == slot.fence and now - at < pause_s:
                return None, at + pause_s - now
            if now - at > MISDIRECTED_LIFE_S or fence != slot.fence:
                del self._misdirected[service, index]
        if target.is_failing and (
            target.is_gone or self._is_cut_off(target, now)
        ):
            return None, LOST_OWNER_S
        if target.is_penalised(now):
            return None, target.penalty_left_s(now)
        return target, 0.0

    def _next_owner_s(self, service: ids.ServiceName) -> float:
        """Returns when a key is likely to have an owner that can be asked."""
        if self._book.evacuated_at and not self._book.has_staying(service):
            return NO_UPSTREAM_S
        return HAND_OVER_S

    def _is_cut_off(self, target: targets.Target, now: float) -> bool:
        """Whether nothing is heard of a target's failure domain.

        Then it isn't tried again and again: each try holds its caller for as
        long as a connection may take to open.
        """
        return self._peers.is_domain_unreachable(
            target.upstream.failure_domain, now
        )


class OwnerOfKey(admission.OwnerLookup):
    """The owner of one key."""

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

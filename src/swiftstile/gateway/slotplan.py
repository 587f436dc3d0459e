"""Plans which upstreams own the slots of one service, over time.

Combines the state of the upstreams, their measured speeds and the load of busy
slots with the algorithms in `keyplan` and `hotplan`. Does no I/O: the leader's
`KeyAssigner` carries the plan out.
"""

import collections.abc

from swiftstile import ids
from swiftstile import logs
from swiftstile.gateway import coldstart
from swiftstile.gateway import hotplan
from swiftstile.gateway import key_load
from swiftstile.gateway import keymap
from swiftstile.gateway import keyplan
from swiftstile.gateway import model
from swiftstile.gateway import speeds
from swiftstile.gateway import targets

__all__ = ["SLOT_COUNT", "SlotPlan"]

# Slots of a service: the finest division of its keys. They are assigned in
# blocks, which are split where adjacent keys are hot.
SLOT_COUNT = 4096
# The initial assignment waits until no upstream has joined for this long.
STABLE_MEMBERSHIP_S = 1.0
# Maximum number of slots that are moved at a time by rebalancing: about a
# tenth, so that the keys of an owner aren't moved all at once.
MAX_REBALANCED_SLOTS = 400
# Interval between rounds of rebalancing: about the time until the effect of one
# can be measured.
REBALANCE_INTERVAL_S = 1.5
# Minimum time between two moves of a hot slot, so that noise doesn't move it
# back and forth.
MIN_RELOCATION_INTERVAL_S = 3.0
# Bounds on the speed of a target relative to the mean, for its share of the
# keys. A slow target keeps a few keys, whose requests show when it is fast
# again.
MIN_SPEED, MAX_SPEED = 0.1, 2.0
# Standard deviations by which a measured speed must differ from the one that an
# owner's keys were assigned for. Smaller differences come and go by chance and
# would move keys back and forth.
SIGNIFICANCE = 2.5
# Owners that a log line on rebalancing names at either end.
MAX_LOGGED = 3
# Part of its share of the keys that an owner keeps beside a hot slot that takes
# up all its capacity, so that it isn't idle when the hotspot ends.
MIN_SHARE_BESIDE_HOT = 0.1

# Capacity of owners, in request slots of a target of mean speed.
Weights = dict[model.UpstreamId, float]


class SlotPlan:
    """Plans for one service.

    Args:
        service: The service.
        target_table: The upstreams.
        speed_table: Their measured speeds.
        key_load_table: Request rates of busy slots.
        work_s: Returns the mean processing time of a service's requests, once
            it has been measured.
        now: The time, on the monotonic clock.
        limits: Which upstreams are cold, so that few requests may be sent to
            them.
        max_ranges: Returns how many ranges the fleet can afford to renew.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        target_table: targets.TargetTable,
        speed_table: speeds.SpeedTable,
        key_load_table: key_load.KeyLoadTable,
        work_s,
        now: float,
        limits: coldstart.SendLimits = coldstart.UNLIMITED,
        max_ranges: collections.abc.Callable[[], int] = lambda: SLOT_COUNT,
    ):
        self._limits = limits
        self._max_ranges = max_ranges
        self._service = service
        self._target_table = target_table
        self._speed_table = speed_table
        self._key_load_table = key_load_table
        self._work_s = work_s
        # Planned new owners of hot slots that are being moved.
        self._hot_destinations: dict[int, model.UpstreamId] = {}
        self._relocated_at: dict[int, float] = {}
        self._rebalanced_at = 0.0
        # Hot slots at the time of the last rebalancing.
        self._rebalanced_for: frozenset[int] = frozenset()
        self._members: set[model.UpstreamId] = set()
        self._members_at = now

    def weights(
        self,
        now: float,
        owners: collections.abc.Container[model.UpstreamId] = (),
    ) -> Weights:
        """Returns the capacity of the upstreams that aren't leaving.

        A cold upstream gets no keys until it is warm, unless it already has
        some, as only few requests could be sent to it.

        Args:
            now: The time.
            owners: Upstreams that own keys.
        """
        group = self._target_table.by_service.get(self._service, {})
        ratios = self._speed_table.placement_ratios(group.keys(), now)
        staying = [
            target for target in group.values() if target.leaving_since is None
        ]
        ready = [
            target
            for target in staying
            if target.id in owners or not self._limits.is_limited(target, now)
        ]
        weights = {
            target.id: _weight(target, ratios[target.id])
            for target in ready or staying
        }
        if set(weights) - self._members:
            self._members_at = now
        self._members = set(weights)
        return weights

    def initial_assignment(
        self, weights: Weights, now: float
    ) -> list[model.UpstreamId]:
        """Returns the owner of each slot; empty until all have joined."""
        if not weights or now - self._members_at < STABLE_MEMBERSHIP_S:
            return []
        width = self._block_width(SLOT_COUNT, weights)
        return keyplan.assign_blocks(SLOT_COUNT, weights, width)

    def hot_slots_to_move(
        self, current: keymap.KeyMap, weights: Weights, now: float
    ) -> list[int]:
        """Returns hot slots to move, and records their destinations."""
        capacity = self._capacities(weights)
        busy = self._busy_slots(current, capacity, now)
        hot = {
            slot: share
            for slot, share in busy.items()
            if share >= hotplan.HOT_SHARE
            and slot not in current.leaving
            and now - self._relocated_at.get(slot, 0.0)
            > MIN_RELOCATION_INTERVAL_S
        }
        taken = {
            self._hot_destinations.get(slot, current.slots[slot].owner)
            for slot in busy.keys() - hot.keys()
        }
        found = hotplan.relocations(current, hot, capacity, taken)
        self._hot_destinations |= found
        self._relocated_at |= dict.fromkeys(found, now)
        return list(found)

    def surplus_slots_to_move(
        self, current: keymap.KeyMap, weights: Weights, now: float
    ) -> list[int]:
        """Returns slots that should leave owners with more than their share.

        Empty until the next round of rebalancing is due. A slot that has just
        become hot triggers one at once, as hotspots last only seconds.
        """
        remaining, hot = self._weights_beside_hot(current, weights, now)
        is_due = now - self._rebalanced_at >= REBALANCE_INTERVAL_S
        if not weights or not (is_due or hot - self._rebalanced_for):
            return []
        self._rebalanced_at, self._rebalanced_for = now, hot
        width = self._block_width(len(current.slots), weights)
        return keyplan.surplus(
            current,
            remaining,
            MAX_REBALANCED_SLOTS,
            hot,
            width,
            self._uncertainties(current, weights, hot, now),
        )

    def _uncertainties(
        self, current: keymap.KeyMap, weights: Weights, hot, now: float
    ) -> dict[model.UpstreamId, float]:
        """Returns the parts of their shares that owners may have by chance.

        Owners of hot slots aren't included: their shares rest on the load.
        """
        beside_hot = {current.slots[slot].owner for slot in hot}
        deviations = self._speed_table.placement_errors(weights.keys(), now)
        return {
            owner: SIGNIFICANCE * deviation
            for owner, deviation in deviations.items()
            if owner not in beside_hot
        }

    def log_rebalancing(
        self, current: keymap.KeyMap, moving: list[int], weights: Weights
    ) -> None:
        """Logs by which estimates slots are about to be rebalanced."""
        total = sum(weights.values())
        count = len(current.slots)
        excess = {
            owner: len(current.slots_by_owner.get(owner, ()))
            / (count * weight / total)
            for owner, weight in weights.items()
        }
        in_order = sorted(excess, key=excess.get)
        logs.logger.info(
            "slots rebalanced",
            service=self._service,
            slots=len(moving),
            hot=len(self._rebalanced_for),
            owners=len(weights),
            # Owned slots relative to the share that the speeds call for, and
            # the answers that these speeds rest on.
            furthest_below=self._described(in_order[:MAX_LOGGED], excess),
            furthest_above=self._described(in_order[-MAX_LOGGED:], excess),
        )

    def _described(self, owners, excess: Weights) -> list[str]:
        counts = self._speed_table.answer_counts
        return [
            f"{owner} {excess[owner]:.2f} {counts.get(owner, 0.0):.0f}"
            for owner in owners
        ]

    def destinations(
        self,
        current: keymap.KeyMap,
        moving: list[int],
        weights: Weights,
        now: float,
    ) -> dict[int, model.UpstreamId]:
        """Returns a new owner for each slot that moves."""
        remaining, _ = self._weights_beside_hot(current, weights, now)
        width = self._block_width(len(current.slots), weights)
        placed = keyplan.destinations(current, moving, remaining, width)
        for index in moving:
            destination = self._hot_destinations.pop(index, None)
            if destination in weights:
                placed[index] = destination
        return placed

    def move_ranges(
        self, current: keymap.KeyMap, slots: collections.abc.Iterable[int]
    ) -> list[range]:
        """Groups slots of one owner into ranges that it releases as a whole.

        Hot slots are released one by one, as each gets its own new owner.
        """
        width = self._block_width(len(current.slots), self._members)
        return keyplan.move_ranges(
            current, slots, width, self._hot_destinations
        )

    def _block_width(self, count: int, owners: collections.abc.Sized) -> int:
        return keyplan.block_width(count, len(owners), self._max_ranges())

    def _weights_beside_hot(
        self, current: keymap.KeyMap, weights: Weights, now: float
    ) -> tuple[Weights, frozenset[int]]:
        """Returns the capacity left beside hot slots, and the hot slots.

        A key with more load than its owner can handle leaves no capacity for
        the other keys of that owner, which are better served elsewhere.
        """
        remaining, hot = dict(weights), set()
        busy = self._busy_slots(current, self._capacities(weights), now)
        for slot, share in busy.items():
            threshold = hotplan.HOT_SHARE
            if slot in self._rebalanced_for:
                # Hysteresis, so that noise doesn't move keys back and forth.
                threshold = hotplan.BUSY_SHARE
            owner = current.slots[slot].owner
            if share >= threshold and slot not in current.leaving:
                hot.add(slot)
                minimum = MIN_SHARE_BESIDE_HOT * weights[owner]
                remaining[owner] = max(
                    minimum, remaining[owner] - share * weights[owner]
                )
        return remaining, frozenset(hot)

    def _busy_slots(
        self, current: keymap.KeyMap, capacity: Weights, now: float
    ) -> dict[int, float]:
        rates = self._key_load_table.rates(self._service, now)
        return hotplan.busy_shares(current, rates, capacity)

    def _capacities(self, weights: Weights) -> dict[model.UpstreamId, float]:
        """Returns the requests/s that upstreams can handle, once known."""
        work_s = self._work_s(self._service)
        if not work_s:
            return {}
        return {owner: weight / work_s for owner, weight in weights.items()}


def _weight(target: targets.Target, ratio: float) -> float:
    """Returns the capacity of a target: its slots times its speed."""
    speed = 1.0 / min(max(ratio, 1 / MAX_SPEED), 1 / MIN_SPEED)
    return max(1, target.upstream.slots) * speed

"""Where the slots of one service should be: what a leader decides, in time.

Joins what is known of upstreams, their speeds and the busy slots with the plans
of `keyplan` and `hotplan`. No network and no store: the keeper carries it out.
"""

import collections.abc

from swiftstile import ids
from swiftstile.gateway import coldstart
from swiftstile.gateway import heat
from swiftstile.gateway import hotplan
from swiftstile.gateway import keymap
from swiftstile.gateway import keyplan
from swiftstile.gateway import model
from swiftstile.gateway import speeds
from swiftstile.gateway import targets

__all__ = ["SLOT_COUNT", "SlotPlan"]

# Slots of a service: the finest division of its keys. They are assigned in
# blocks, which are cut where a neighbourhood of keys is hot.
SLOT_COUNT = 4096
# Before the first deal, no upstream joined for this long.
SETTLED_S = 1.0
# Most slots that are moved at a time only to even things out: about a tenth,
# so that no owner's keys are on the move all at once.
MOVE_BATCH = 400
# Between two rounds of evening out: about what the effect of one takes to show.
EVEN_OUT_EVERY_S = 1.5
# A hot slot stays this long where it was put, so that it doesn't go back and
# forth with noise.
RELOCATE_EVERY_S = 3.0
# Bounds of a target's speed over the mean, for its share of the keys. A slow
# one keeps a few, which tell when it is fast again.
SLOWEST_WEIGHT, FASTEST_WEIGHT = 0.1, 2.0
# What an owner keeps of its share of the keys beside a slot that takes all that
# it can do: a few, so that it isn't empty when the hot time is over.
LEAST_BESIDE_HOT = 0.1

# What owners can do, in slots of a target of mean speed.
Weights = dict[model.UpstreamId, float]


class SlotPlan:
    """Plans for one service.

    Args:
        service: The service.
        book: The upstreams.
        speed_book: How fast they are.
        heat_book: How often busy slots are asked for.
        work_s: Returns the mean work of a service's requests, once measured.
        now: On the steady clock.
        limits: Which upstreams are cold, so that little may be sent there.
        most_ranges: Returns how many ranges the fleet can afford to renew.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        book: targets.TargetTable,
        speed_book: speeds.SpeedTable,
        heat_book: heat.HeatBook,
        work_s,
        now: float,
        limits: coldstart.SendLimits = coldstart.UNLIMITED,
        most_ranges: collections.abc.Callable[[], int] = lambda: SLOT_COUNT,
    ):
        self._limits = limits
        self._most_ranges = most_ranges
        self._service = service
        self._book = book
        self._speeds = speed_book
        self._heat = heat_book
        self._work_s = work_s
        # Where hot slots are on their way to.
        self._wanted: dict[int, model.UpstreamId] = {}
        self._relocated_at: dict[int, float] = {}
        self._evened_at = 0.0
        # Hot slots beside which things were evened out last.
        self._evened_for: frozenset[int] = frozenset()
        self._members: set[model.UpstreamId] = set()
        self._members_at = now

    def weights(
        self,
        now: float,
        owners: collections.abc.Container[model.UpstreamId] = (),
    ) -> Weights:
        """Returns what the upstreams that stay can do.

        A cold one gets no keys until it is warm, unless it has some: few of
        their requests could be sent to it.

        Args:
            now: The time.
            owners: Upstreams that own keys.
        """
        group = self._book.by_service.get(self._service, {})
        ratios = self._speeds.placement_ratios(group.keys(), now)
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

    def first_deal(
        self, weights: Weights, now: float
    ) -> list[model.UpstreamId]:
        """Returns the first owner of each slot; none until all have joined."""
        if not weights or now - self._members_at < SETTLED_S:
            return []
        width = self._block_width(SLOT_COUNT, weights)
        return keyplan.deal(SLOT_COUNT, weights, width)

    def hot_to_move(
        self, current: keymap.KeyMap, weights: Weights, now: float
    ) -> list[int]:
        """Returns hot slots that should leave, and notes where they go."""
        capacity = self._capacities(weights)
        busy = self._busy(current, capacity, now)
        hot = {
            slot: share
            for slot, share in busy.items()
            if share >= hotplan.HOT_SHARE
            and slot not in current.leaving
            and now - self._relocated_at.get(slot, 0.0) > RELOCATE_EVERY_S
        }
        taken = {
            self._wanted.get(slot, current.slots[slot].owner)
            for slot in busy.keys() - hot.keys()
        }
        found = hotplan.relocations(current, hot, capacity, taken)
        self._wanted |= found
        self._relocated_at |= dict.fromkeys(found, now)
        return list(found)

    def surplus_to_move(
        self, current: keymap.KeyMap, weights: Weights, now: float
    ) -> list[int]:
        """Returns slots that should leave owners that have too many.

        Nothing until it is time for that again. A slot that just became hot
        doesn't wait: it lasts for seconds only.
        """
        left, hot = self._left_beside_hot(current, weights, now)
        is_due = now - self._evened_at >= EVEN_OUT_EVERY_S
        if not weights or not (is_due or hot - self._evened_for):
            return []
        self._evened_at, self._evened_for = now, hot
        width = self._block_width(len(current.slots), weights)
        return keyplan.surplus(current, left, MOVE_BATCH, hot, width)

    def destinations(
        self,
        current: keymap.KeyMap,
        moving: list[int],
        weights: Weights,
        now: float,
    ) -> dict[int, model.UpstreamId]:
        """Returns a new owner for each slot that moves."""
        left, _ = self._left_beside_hot(current, weights, now)
        width = self._block_width(len(current.slots), weights)
        placed = keyplan.destinations(current, moving, left, width)
        for index in moving:
            wanted = self._wanted.pop(index, None)
            if wanted in weights:
                placed[index] = wanted
        return placed

    def pieces(
        self, current: keymap.KeyMap, slots: collections.abc.Iterable[int]
    ) -> list[range]:
        """Returns slots of one owner as ranges that it releases as one.

        Hot slots are released one by one, as each gets an owner of its own.
        """
        width = self._block_width(len(current.slots), self._members)
        return keyplan.pieces(current, slots, width, self._wanted)

    def _block_width(self, count: int, owners: collections.abc.Sized) -> int:
        return keyplan.block_width(count, len(owners), self._most_ranges())

    def _left_beside_hot(
        self, current: keymap.KeyMap, weights: Weights, now: float
    ) -> tuple[Weights, frozenset[int]]:
        """Returns what owners can do beside their hot slots, and these slots.

        A key that draws more than its owner can do leaves nothing for the rest
        of that owner's keys: they are better off elsewhere meanwhile.
        """
        left, hot = dict(weights), set()
        busy = self._busy(current, self._capacities(weights), now)
        for slot, share in busy.items():
            least = hotplan.HOT_SHARE
            if slot in self._evened_for:
                # Not back and forth with noise.
                least = hotplan.BUSY_SHARE
            owner = current.slots[slot].owner
            if share >= least and slot not in current.leaving:
                hot.add(slot)
                kept = LEAST_BESIDE_HOT * weights[owner]
                left[owner] = max(kept, left[owner] - share * weights[owner])
        return left, frozenset(hot)

    def _busy(
        self, current: keymap.KeyMap, capacity: Weights, now: float
    ) -> dict[int, float]:
        rates = self._heat.rates(self._service, now)
        return hotplan.shares(current, rates, capacity)

    def _capacities(self, weights: Weights) -> dict[model.UpstreamId, float]:
        """Returns the requests/s that upstreams can do, once known."""
        work_s = self._work_s(self._service)
        if not work_s:
            return {}
        return {owner: weight / work_s for owner, weight in weights.items()}


def _weight(target: targets.Target, ratio: float) -> float:
    """Returns how much a target can do: its slots over its slowness."""
    speed = 1.0 / min(max(ratio, 1 / FASTEST_WEIGHT), 1 / SLOWEST_WEIGHT)
    return max(1, target.upstream.slots) * speed

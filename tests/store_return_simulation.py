"""Plays key maps, grants and moves while the store returns from older copies.

Uses the decision code of the product without a network: maps, their
confirmation, and the versions of the store. Elections and the authority to
renew are reduced to their timing.
"""

import dataclasses
import random

from swiftstile.gateway import keymap
from swiftstile.gateway import map_confirmation
from swiftstile.gateway import reclaim
from swiftstile.gateway import renewals
from swiftstile.gateway import store_versions
from tests import gateway_builders as builders

_STEP_S = 0.05
_SLOTS, _UPSTREAMS, _VMS = 4, 3, 4
# A VM takes over this long after the leader crashed.
_TAKEOVER_S = 1.4
_RESTART_S = 1.2
_RENEW_S = 1.5
# Grants of a crashed VM, and of those that relied on it, end within this time.
_CRASH_WAIT_S = map_confirmation.CURRENT_FOR_S + 1.05 * renewals.HOLD_S


@dataclasses.dataclass
class Safeguards:
    """What prevents two owners; each can be disabled."""

    prefers_known_maps: bool = True
    raises_fences: bool = True
    holds_back_leaving: bool = True
    confirms_before_renewals: bool = True


class _Vm:

    def __init__(self, number: int):
        self.number = number
        self.up_at = 0.0
        self.reset()

    def reset(self) -> None:
        self.maps = renewals.KeyMaps()
        self.generation = 1
        self.stored_version = 0
        self.seen_at = float("-inf")
        self.authorised_at = float("-inf")
        self.granted_at: dict[tuple[int, int], float] = {}

    @property
    def map(self) -> keymap.KeyMap | None:
        return self.maps.by_service.get(builders.LOOKUPS)


class Simulation:
    """One history with random times.

    Attributes:
        violations: Slots that two upstreams held, and fences that didn't rise.
        confirmations: How often maps were confirmed, by method.
    """

    def __init__(self, seed: int, safeguards: Safeguards):
        self._draw = random.Random(seed)
        self._safeguards = safeguards
        self._now = 0.0
        self._generation, self._number = 1, 0
        self._away_until = 0.0
        # Stored maps: time, number, document.
        self._history: list[tuple[float, int, bytes]] = []
        self._vms = [_Vm(number) for number in range(_VMS)]
        self._leader, self._led_since, self._led_in = self._vms[0], 0.0, 1
        # Another run of the leader's process doesn't lead.
        self._has_leader = True
        self._crashed_at = float("-inf")
        self._held = [[0.0] * _SLOTS for _ in range(_UPSTREAMS)]
        self._seen = [[0] * _SLOTS for _ in range(_UPSTREAMS)]
        # When leaving slots were fenced off, by slot and fence.
        self._fenced_at: dict[tuple[int, int], float] = {}
        self.violations: set[str] = set()
        self.confirmations: dict[map_confirmation.Method, int] = {}

    def run(self, seconds: float) -> None:
        owners = {slot: f"u-{slot % _UPSTREAMS}" for slot in range(_SLOTS)}
        self._write(keymap.KeyMap.empty(_SLOTS).assign({}, owners))
        while self._now < seconds:
            self._now += _STEP_S
            self._fail()
            for vm in self._vms:
                if self._is_up(vm):
                    self._read(vm)
            self._elect()
            if self._has_leader and self._is_store_up():
                self._lead(self._leader)
            for vm in self._vms:
                if self._may_renew(vm):
                    self._renew(vm)

    def _is_up(self, vm: _Vm) -> bool:
        return self._now >= vm.up_at

    def _is_store_up(self) -> bool:
        return self._now >= self._away_until

    def _fail(self) -> None:
        chance = self._draw.random()
        if chance < 0.004:
            self._kill(self._draw.choice(self._vms))
        elif chance < 0.012 and self._is_store_up():
            self._return(self._draw.uniform(0.1, 2.5))
            if self._draw.random() < 0.5:
                self._kill(self._leader)

    def _kill(self, vm: _Vm) -> None:
        if not self._is_up(vm):
            return
        vm.reset()
        vm.up_at = self._now + _RESTART_S
        self._crashed_at = self._now
        self._has_leader &= vm is not self._leader

    def _return(self, age_s: float) -> None:
        away_s = self._draw.uniform(0.05, 0.6)
        kept = [h for h in self._history if h[0] <= self._now - age_s]
        self._history = kept or self._history[:1]
        self._number = self._history[-1][1] + self._draw.randrange(3)
        self._generation += 1
        self._away_until = self._now + away_s

    def _read(self, vm: _Vm) -> None:
        if not self._is_store_up() or self._draw.random() < 0.5:
            return
        if vm.generation != self._generation:
            vm.generation, vm.seen_at = self._generation, self._now
        _, number, document = self._history[-1]
        version = self._version(number)
        vm.stored_version = version
        decoded = keymap.decode(document, version)
        if not self._safeguards.prefers_known_maps:
            decoded.generation = None
        vm.maps.put(builders.LOOKUPS, decoded, self._now)

    def _version(self, number: int) -> int:
        return store_versions.version_of(self._generation, number)

    def _elect(self) -> None:
        if self._has_leader:
            return
        live = [vm for vm in self._vms if self._is_up(vm) and vm.map]
        is_due = self._now - self._crashed_at >= _TAKEOVER_S
        if is_due and live and self._is_store_up():
            self._leader = self._draw.choice(live)
            self._led_since, self._led_in = self._now, self._generation
            self._has_leader = True

    def _write(self, changed: keymap.KeyMap) -> None:
        changed.generation = self._leader.generation
        self._number += 1
        document = changed.encode(f"a-{self._number}")
        self._history.append((self._now, self._number, document))
        version = self._version(self._number)
        stored = keymap.decode(document, version)
        self._leader.maps.put(builders.LOOKUPS, stored, self._now)

    def _lead(self, leader: _Vm) -> None:
        current = leader.map
        if current is None or leader.generation != self._generation:
            return
        generation = store_versions.generation_of(current.version)
        if generation < leader.generation or not current.is_confirmed:
            self._confirm(leader, current)
        elif current.leaving:
            self._advance(current)
        elif self._draw.random() < 0.1:
            self._write(current.mark_leaving([self._draw.randrange(_SLOTS)]))

    def _confirm(self, leader: _Vm, current: keymap.KeyMap) -> None:
        has_led = self._led_in < leader.generation
        method = map_confirmation.choose_method(
            has_led,
            current.is_confirmed,
            leader.authorised_at,
            leader.seen_at if has_led else self._led_since,
        )
        if method is map_confirmation.Method.ASSIGN_ANEW and (
            not map_confirmation.have_grants_expired(self._led_since, self._now)
        ):
            return
        uncertain = current.uncertain
        if method is map_confirmation.Method.HOLD_BACK_LEAVING:
            uncertain = uncertain | current.leaving
        step = map_confirmation.fence_step(
            current.generation, leader.generation
        )
        self.confirmations[method] = self.confirmations.get(method, 0) + 1
        self._write(
            current.confirmed(
                step if self._safeguards.raises_fences else 0,
                leader.stored_version,
                uncertain,
                method is map_confirmation.Method.ASSIGN_ANEW,
            )
        )

    def _advance(self, current: keymap.KeyMap) -> None:
        """Moves the leaving slots once nobody renews them any more."""
        live = [vm for vm in self._vms if self._is_up(vm)]
        if any(
            vm.map is not current
            and (vm.map is None or vm.map.version < current.version)
            for vm in live
        ):
            return
        slots = current.leaving
        if (
            self._safeguards.holds_back_leaving
            and current.uncertain
            and (
                not map_confirmation.have_grants_expired(
                    self._led_since, self._now
                )
            )
        ):
            slots = slots - current.uncertain
        if self._now < max(self._crashed_at, self._led_since) + _CRASH_WAIT_S:
            slots = self._fence_off(current, slots)
        if not slots:
            return
        owners = {}
        for slot in slots:
            former = _number(current.slots[slot].owner)
            self._held[former][slot] = 0.0
            owners[slot] = f"u-{(former + 1) % _UPSTREAMS}"
        self._write(current.assign({}, owners))

    def _fence_off(self, current: keymap.KeyMap, slots) -> set[int]:
        """Makes owners reject grants of crashed VMs; returns what has ended.

        The grant that does so lets an owner keep its slot for a moment.
        """
        ended = set()
        for slot in slots:
            name = slot, current.slots[slot].fence
            fenced_at = self._fenced_at.get(name)
            if fenced_at is None:
                self._fenced_at[name] = self._now
                owner = _number(current.slots[slot].owner)
                fence = current.next_fence
                self._grant(owner, slot, fence, reclaim.KEEP_HOLD_S)
            elif self._now - fenced_at > 1.1 * reclaim.KEEP_HOLD_S:
                ended.add(slot)
        return ended

    def _may_renew(self, vm: _Vm) -> bool:
        known, leading = vm.map, self._leader.map
        is_following = (
            self._is_up(vm)
            and self._has_leader
            and known is not None
            and leading is not None
            and known.version == leading.version
            and known.is_confirmed
            and self._is_in_force(leading)
            and 2 * sum(map(self._is_up, self._vms)) > _VMS
        )
        if is_following:
            vm.authorised_at = self._now
        return is_following

    def _is_in_force(self, leading: keymap.KeyMap) -> bool:
        if not self._safeguards.confirms_before_renewals:
            return True
        generation = store_versions.generation_of(leading.version)
        return generation >= self._leader.generation

    def _renew(self, vm: _Vm) -> None:
        for index, slot in enumerate(vm.map.slots):
            if slot.is_leaving or slot.owner is None:
                continue
            name = index, slot.fence
            if self._now - vm.granted_at.get(name, -9.0) >= _RENEW_S:
                vm.granted_at[name] = self._now
                self._grant(
                    _number(slot.owner), index, slot.fence, renewals.HOLD_S
                )

    def _grant(
        self, upstream: int, index: int, fence: int, hold_s: float
    ) -> None:
        if fence < self._seen[upstream][index]:
            return
        for other in range(_UPSTREAMS):
            if other == upstream:
                continue
            if self._held[other][index] > self._now:
                self.violations.add(f"slot {index} has two owners")
            if self._seen[other][index] >= fence:
                self.violations.add(f"slot {index} got an old fence")
        self._seen[upstream][index] = fence
        until = self._now + hold_s
        self._held[upstream][index] = max(until, self._held[upstream][index])


def _number(name: str) -> int:
    return int(name.removeprefix("u-"))

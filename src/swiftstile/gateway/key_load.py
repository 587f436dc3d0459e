"""Request rates of the slots of keyed services, over all VMs.

A request is counted by the VM that schedules it, which is the same one for all
requests to an owner. Only slots with several requests per second are reported.
"""

import typing

import msgspec

from swiftstile import ids
from swiftstile.gateway import model

__all__ = ["KeyLoad", "KeyLoadTable"]

# Half-life of the decayed counts: hot keys change every few seconds.
HALF_LIFE_S = 0.7
# Slots with a lower rate at one VM aren't reported, in requests/s.
MIN_REPORTED_RATE = 1.5
# Maximum number of slots of a service that are reported.
MAX_REPORTED = 6
# Reports of peers are ignored after this time.
PEER_TTL_S = 1.2
# Decay constant for the half-life, in 1/s: a constant rate r yields the decayed
# count r / _DECAY.
_DECAY = 0.693 / HALF_LIFE_S

# Requests/s by service and slot.
KeyLoad = dict[
    ids.ServiceName,
    dict[int, typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]],
]


class KeyLoadTable:
    """Request rates by slot, as measured by this VM and reported by peers."""

    def __init__(self):
        self._own: dict[ids.ServiceName, dict[int, tuple[float, float]]] = {}
        self._peers: dict[model.NodeId, tuple[KeyLoad, float]] = {}

    def record_request(
        self, service: ids.ServiceName, slot: int, now: float
    ) -> None:
        """Counts a request for a slot."""
        slots = self._own.setdefault(service, {})
        count, at = slots.get(slot, (0.0, now))
        slots[slot] = (count * 0.5 ** ((now - at) / HALF_LIFE_S) + 1.0, now)

    def receive(
        self, node: model.NodeId, reported: KeyLoad, now: float
    ) -> None:
        """Stores the latest report of a peer."""
        self._peers[node] = (reported, now)

    def report(self, now: float) -> KeyLoad:
        """Returns the rates of this VM's busiest slots, for its peers."""
        reported: KeyLoad = {}
        for service, slots in self._own.items():
            rates = {
                slot: count * 0.5 ** ((now - at) / HALF_LIFE_S) * _DECAY
                for slot, (count, at) in slots.items()
            }
            busy = {s: r for s, r in rates.items() if r >= MIN_REPORTED_RATE}
            # Slots far below the reported rates are dropped.
            self._own[service] = {
                s: slots[s]
                for s, r in rates.items()
                if r > MIN_REPORTED_RATE / 10
            }
            if busy:
                top = sorted(busy, key=busy.get, reverse=True)[:MAX_REPORTED]
                reported[service] = {slot: round(busy[slot], 1) for slot in top}
        return reported

    def rates(self, service: ids.ServiceName, now: float) -> dict[int, float]:
        """Returns the rates of busy slots, over all VMs, in requests/s."""
        total: dict[int, float] = dict(self.report(now).get(service, {}))
        for reported, received_at in self._peers.values():
            if now - received_at > PEER_TTL_S:
                continue
            for slot, rate in reported.get(service, {}).items():
                total[slot] = total.get(slot, 0.0) + rate
        return total

"""How often the slots of keyed services are asked for, over all VMs.

A request counts at the VM that decides when it is sent, which is one for all
requests of an owner. Only slots that are asked for several times a second are
reported.
"""

from swiftstile import ids
from swiftstile.gateway import model

__all__ = ["Heat", "HeatBook"]

# A request counts half after this long: busy keys change every few seconds.
HALF_LIFE_S = 0.7
# Slots asked for less often than this at one VM aren't told, in requests/s.
LEAST_RATE = 1.5
# Most slots of a service that are told.
MOST_TOLD = 6
# What a peer told longer ago than this is forgotten.
PEER_LIFE_S = 1.2
# Decay constant that belongs to the half life, in 1/s: a steady rate r makes
# the decayed count r / DECAY.
_DECAY = 0.693 / HALF_LIFE_S

# Requests/s by service and slot.
Heat = dict[ids.ServiceName, dict[int, float]]


class HeatBook:
    """Rates by slot, of this VM and as peers told them."""

    def __init__(self):
        self._own: dict[ids.ServiceName, dict[int, tuple[float, float]]] = {}
        self._peers: dict[model.NodeId, tuple[Heat, float]] = {}

    def note(self, service: ids.ServiceName, slot: int, now: float) -> None:
        """A request for a slot came."""
        slots = self._own.setdefault(service, {})
        count, at = slots.get(slot, (0.0, now))
        slots[slot] = (count * 0.5 ** ((now - at) / HALF_LIFE_S) + 1.0, now)

    def hear(self, node: model.NodeId, told: Heat, now: float) -> None:
        """Takes in what a peer told."""
        self._peers[node] = (told, now)

    def tell(self, now: float) -> Heat:
        """Returns this VM's busiest slots, for its peers."""
        told: Heat = {}
        for service, slots in self._own.items():
            rates = {
                slot: count * 0.5 ** ((now - at) / HALF_LIFE_S) * _DECAY
                for slot, (count, at) in slots.items()
            }
            busy = {s: r for s, r in rates.items() if r >= LEAST_RATE}
            # What is far below that is as good as never asked for.
            self._own[service] = {
                s: slots[s] for s, r in rates.items() if r > LEAST_RATE / 10
            }
            if busy:
                top = sorted(busy, key=busy.get, reverse=True)[:MOST_TOLD]
                told[service] = {slot: round(busy[slot], 1) for slot in top}
        return told

    def rates(self, service: ids.ServiceName, now: float) -> dict[int, float]:
        """Returns the rates of busy slots, over all VMs, in requests/s."""
        total: dict[int, float] = dict(self.tell(now).get(service, {}))
        for told, heard in self._peers.values():
            if now - heard > PEER_LIFE_S:
                continue
            for slot, rate in told.get(service, {}).items():
                total[slot] = total.get(slot, 0.0) + rate
        return total

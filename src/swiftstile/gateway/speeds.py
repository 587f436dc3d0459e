"""How fast upstreams are, from the answers that all VMs got.

One VM sees too few answers of one upstream to tell its speed, so VMs tell each
other their sums. Old answers count less: speeds change.
"""

from collections import abc
import statistics

from swiftstile.gateway import model

__all__ = ["UNKNOWN_RATIO", "Samples", "SpeedBook"]

# An answer counts half after this long: a slow upstream shows within seconds.
HALF_LIFE_S = 4.0
# Of an upstream of which nothing is known.
UNKNOWN_RATIO = 1.0
# Answers at mean speed that are taken for granted; with less, a few odd
# requests would move keys.
PRIOR_COUNT = 4.0
# Ratios are bounded so that one odd request doesn't outweigh all others.
LEAST_RATIO, GREATEST_RATIO = 0.2, 12.0
# What a peer told longer ago than this is forgotten.
PEER_LIFE_S = 4.0
_LEAST_COUNT = 0.1
# Upstreams that are told at a time, those with most answers: 60 of them fill
# one datagram that the network doesn't cut into pieces.
MOST_TOLD = 60
# On the wire, counts are in tenths and ratios in hundredths.
_COUNT_UNIT, _RATIO_UNIT = 0.1, 0.01

# Count and ratio by upstream, in the units above.
Samples = dict[model.UpstreamId, tuple[int, int]]


class _Decayed:

    def __init__(self):
        self.total = 0.0
        self.count = 0.0
        self.at = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.total *= factor
        self.count *= factor
        self.at = now


class SpeedBook:
    """Ratios of measured to expected work time, by upstream."""

    def __init__(self):
        self._own: dict[model.UpstreamId, _Decayed] = {}
        self._peers: dict[model.NodeId, tuple[Samples, float]] = {}

    def note(
        self, upstream: model.UpstreamId, ratio: float, now: float
    ) -> None:
        """Takes in the time of one answer over what was expected."""
        entry = self._own.setdefault(upstream, _Decayed())
        entry.decay(now)
        entry.total += min(max(ratio, LEAST_RATIO), GREATEST_RATIO)
        entry.count += 1

    def hear(self, node: model.NodeId, samples: Samples, now: float) -> None:
        """Takes in what a peer tells."""
        self._peers[node] = (samples, now)

    def tell(self, now: float) -> Samples:
        """Returns this VM's own sums, for its peers."""
        told: Samples = {}
        for upstream, entry in list(self._own.items()):
            entry.decay(now)
            if entry.count < _LEAST_COUNT:
                del self._own[upstream]
                continue
            ratio = entry.total / entry.count
            told[upstream] = (
                round(entry.count / _COUNT_UNIT),
                round(ratio / _RATIO_UNIT),
            )
        if len(told) <= MOST_TOLD:
            return told
        most = sorted(told, key=lambda name: told[name][0], reverse=True)
        return {name: told[name] for name in most[:MOST_TOLD]}

    def compared(
        self, members: abc.Collection[model.UpstreamId], now: float
    ) -> dict[model.UpstreamId, float]:
        """Returns ratios that tell members apart, to place keys by.

        All count alike while there are few answers. One of which nothing is
        known counts as the mean of the others: where work takes a fifth of what
        is expected, each that was asked would otherwise seem five times as fast
        as it, and keys would move for no reason.
        """
        ratios = self.ratios(now)
        known = {name: ratios[name] for name in members if name in ratios}
        least = PRIOR_COUNT * len(members)
        if not known or self._count(known.keys(), now) < least:
            return dict.fromkeys(members, UNKNOWN_RATIO)
        mean = statistics.fmean(known.values())
        return {name: known.get(name, mean) for name in members}

    def _count(
        self, names: abc.Collection[model.UpstreamId], now: float
    ) -> float:
        """Returns the answers of these upstreams that are known of."""
        sums = self._sums(now)
        return sum(sums[name][1] for name in names)

    def ratios(self, now: float) -> dict[model.UpstreamId, float]:
        """Returns the ratios of upstreams; others count as `UNKNOWN_RATIO`."""
        return {
            upstream: (PRIOR_COUNT + total) / (PRIOR_COUNT + count)
            for upstream, (total, count) in self._sums(now).items()
        }

    def _sums(self, now: float) -> dict[model.UpstreamId, tuple[float, float]]:
        """Returns the sum of ratios and the count, of all VMs' answers."""
        sums: dict[model.UpstreamId, tuple[float, float]] = {}
        for upstream, entry in self._own.items():
            entry.decay(now)
            sums[upstream] = (entry.total, entry.count)
        for samples, heard in self._peers.values():
            if now - heard > PEER_LIFE_S:
                continue
            unit = _COUNT_UNIT * 0.5 ** ((now - heard) / HALF_LIFE_S)
            for upstream, (told_count, told_ratio) in samples.items():
                total, count = sums.get(upstream, (0.0, 0.0))
                weight = told_count * unit
                sums[upstream] = (
                    total + weight * told_ratio * _RATIO_UNIT,
                    count + weight,
                )
        return sums

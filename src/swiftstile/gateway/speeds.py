"""Estimates the speed of upstreams from the answers that all VMs received.

One VM sees too few answers of an upstream to estimate its speed, so VMs
exchange their sums. The weight of an answer decays with its age, because speeds
change.
"""

from collections import abc
import math
import typing

from swiftstile.gateway import model

__all__ = ["DEFAULT_RATIO", "Samples", "SpeedTable"]

# Half-life of an answer's weight: a slow upstream is detected within seconds.
HALF_LIFE_S = 4.0
# Ratio of an upstream without samples.
DEFAULT_RATIO = 1.0
# Weight of the prior, in answers at mean speed. With less, a few outliers would
# move keys.
PRIOR_COUNT = 4.0
# Bounds of a sample, so that one outlier doesn't outweigh all others.
MIN_RATIO, MAX_RATIO = 0.2, 12.0
# Samples that a peer reported longer ago than this are dropped.
PEER_TTL_S = 4.0
# Greatest age of the reference time of the sums. The rounding error grows with
# it, and is 1 part in 10**12 at this age.
MAX_REFERENCE_AGE_S = 40.0
_MIN_COUNT = 0.1
# Standard deviation of the service times of an upstream, relative to their
# mean, until it has been measured, and the answers of an upstream that are
# needed for that.
DEFAULT_VARIATION = 0.5
_MIN_VARIATION_COUNT = 2.0
# Upstreams per report, those with the most answers: 60 of them fill one
# datagram that isn't fragmented by the network.
MAX_PUBLISHED = 60
# On the wire, counts are in tenths and ratios in hundredths.
_COUNT_UNIT, _RATIO_UNIT = 0.1, 0.01

# Count and ratio by upstream, in the units above.
Samples = dict[model.UpstreamId, tuple[int, int]]


class _DecayingSum:

    def __init__(self):
        self.total = 0.0
        self.squares = 0.0
        self.count = 0.0
        self.at = 0.0

    def add(self, ratio: float, now: float) -> None:
        self.decay(now)
        self.total += ratio
        self.squares += ratio * ratio
        self.count += 1

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.total *= factor
        self.squares *= factor
        self.count *= factor
        self.at = now

    def squared_variation(self) -> float:
        """Returns the variance of the ratios, relative to their mean squared.

        Corrected for the few answers that the mean rests on.
        """
        mean = self.total / self.count
        variance = max(0.0, self.squares / self.count - mean * mean)
        return variance / (mean * mean) * self.count / (self.count - 1)


class _PeerSamples(typing.NamedTuple):
    """A peer's samples, and their weights as of the reference time."""

    samples: Samples
    received_at: float
    weight_by_upstream: dict[model.UpstreamId, tuple[float, float]]


class _PeerSums:
    """Sums of the samples of all peers, by upstream.

    All weights decay at the same rate, so the sums are kept as of one reference
    time and scaled to the present as a whole. A peer's samples are added once,
    instead of at each of the leader's 20 reads a second, for 195 VMs.
    """

    def __init__(self):
        # In order of receipt.
        self._samples_by_node: dict[model.NodeId, _PeerSamples] = {}
        self._reference = 0.0
        # Sum of ratios, count, and number of reporting peers, by upstream.
        self._sums: dict[model.UpstreamId, tuple[float, float, int]] = {}

    def receive(self, node: model.NodeId, samples: Samples, now: float) -> None:
        """Replaces the samples of a peer."""
        known = self._samples_by_node.pop(node, None)
        if known is not None:
            self._subtract(known)
        if not self._sums or now - self._reference > MAX_REFERENCE_AGE_S:
            self._rebase(now)
        self._samples_by_node[node] = self._add(samples, now)

    def at(self, now: float) -> dict[model.UpstreamId, tuple[float, float]]:
        """Returns the sum of ratios and the count, by upstream."""
        while self._samples_by_node:
            node, entry = next(iter(self._samples_by_node.items()))
            if now - entry.received_at <= PEER_TTL_S:
                break
            del self._samples_by_node[node]
            self._subtract(entry)
        factor = 0.5 ** ((now - self._reference) / HALF_LIFE_S)
        return {
            upstream: (total * factor, count * factor)
            for upstream, (total, count, _) in self._sums.items()
        }

    def _rebase(self, now: float) -> None:
        """Moves the reference time, so that weights stay small."""
        self._reference = now
        self._sums.clear()
        for node, entry in self._samples_by_node.items():
            self._samples_by_node[node] = self._add(
                entry.samples, entry.received_at
            )

    def _add(self, samples: Samples, received_at: float) -> _PeerSamples:
        unit = _COUNT_UNIT * 2.0 ** (
            (received_at - self._reference) / HALF_LIFE_S
        )
        weights = {}
        for upstream, (count_units, ratio_units) in samples.items():
            count = count_units * unit
            total = count * ratio_units * _RATIO_UNIT
            weights[upstream] = total, count
            sums = self._sums.get(upstream, (0.0, 0.0, 0))
            self._sums[upstream] = sums[0] + total, sums[1] + count, sums[2] + 1
        return _PeerSamples(samples, received_at, weights)

    def _subtract(self, entry: _PeerSamples) -> None:
        for upstream, (total, count) in entry.weight_by_upstream.items():
            sums = self._sums[upstream]
            if sums[2] == 1:
                # No other peer reports it: the remainder is a rounding error.
                del self._sums[upstream]
                continue
            self._sums[upstream] = sums[0] - total, sums[1] - count, sums[2] - 1


class SpeedTable:
    """Ratios of measured to expected service time, by upstream.

    Attributes:
        answer_counts: Decayed number of answers that the last placement ratios
            rest on, by upstream.
    """

    def __init__(self):
        self.answer_counts: dict[model.UpstreamId, float] = {}
        self._own: dict[model.UpstreamId, _DecayingSum] = {}
        self._peers = _PeerSums()

    def add_sample(
        self, upstream: model.UpstreamId, ratio: float, now: float
    ) -> None:
        """Adds the ratio of actual to expected service time of one answer."""
        entry = self._own.setdefault(upstream, _DecayingSum())
        entry.add(min(max(ratio, MIN_RATIO), MAX_RATIO), now)

    def receive(self, node: model.NodeId, samples: Samples, now: float) -> None:
        """Replaces the samples of a peer."""
        self._peers.receive(node, samples, now)

    def own_samples(self, now: float) -> Samples:
        """Returns this VM's own samples, to be sent to its peers."""
        samples: Samples = {}
        for upstream, entry in list(self._own.items()):
            entry.decay(now)
            if entry.count < _MIN_COUNT:
                del self._own[upstream]
                continue
            ratio = entry.total / entry.count
            samples[upstream] = (
                round(entry.count / _COUNT_UNIT),
                round(ratio / _RATIO_UNIT),
            )
        if len(samples) <= MAX_PUBLISHED:
            return samples
        most = sorted(samples, key=lambda name: samples[name][0], reverse=True)
        return {name: samples[name] for name in most[:MAX_PUBLISHED]}

    def placement_ratios(
        self, members: abc.Collection[model.UpstreamId], now: float
    ) -> dict[model.UpstreamId, float]:
        """Returns comparable ratios of members, for key placement.

        All are equal while there are few answers. The prior of each member is
        the mean of all: where work takes a fifth of the expected time, members
        with few answers would otherwise seem several times as slow as the
        others, and keys would move to where answers are.
        """
        sums = self._sums(now)
        known = {name: sums[name] for name in members if name in sums}
        self.answer_counts = {name: count for name, (_, count) in known.items()}
        answers = sum(self.answer_counts.values())
        if not known or answers < PRIOR_COUNT * len(members):
            return dict.fromkeys(members, DEFAULT_RATIO)
        mean = sum(total for total, _ in known.values()) / answers
        return {
            name: _ratio(*known.get(name, (0.0, 0.0)), mean) for name in members
        }

    def placement_errors(
        self, members: abc.Collection[model.UpstreamId], now: float
    ) -> dict[model.UpstreamId, float]:
        """Returns the standard deviations by chance of the placement ratios.

        They are relative to the ratios. Without answers the ratio of a member
        is its prior, which doesn't vary.
        """
        sums = self._sums(now)
        variation = self._variation(members)
        counts = {name: sums.get(name, (0.0, 0.0))[1] for name in members}
        return {
            name: variation * math.sqrt(count) / (PRIOR_COUNT + count)
            for name, count in counts.items()
        }

    def _variation(self, members: abc.Collection[model.UpstreamId]) -> float:
        """Returns the standard deviation of answers, relative to the mean."""
        own = [self._own[name] for name in members if name in self._own]
        measured = [e for e in own if e.count >= _MIN_VARIATION_COUNT]
        answers = sum(entry.count for entry in measured)
        if answers < _MIN_VARIATION_COUNT * len(members):
            return DEFAULT_VARIATION
        squared = sum(
            entry.count * entry.squared_variation() for entry in measured
        )
        return math.sqrt(squared / answers)

    def ratios(self, now: float) -> dict[model.UpstreamId, float]:
        """Returns the known ratios; others count as `DEFAULT_RATIO`."""
        return {
            upstream: _ratio(total, count)
            for upstream, (total, count) in self._sums(now).items()
        }

    def _sums(self, now: float) -> dict[model.UpstreamId, tuple[float, float]]:
        """Returns the sums of ratios and the counts of all VMs' answers."""
        sums = self._peers.at(now)
        for upstream, entry in self._own.items():
            entry.decay(now)
            total, count = sums.get(upstream, (0.0, 0.0))
            sums[upstream] = (total + entry.total, count + entry.count)
        return sums


def _ratio(total: float, count: float, prior: float = DEFAULT_RATIO) -> float:
    return (PRIOR_COUNT * prior + total) / (PRIOR_COUNT + count)

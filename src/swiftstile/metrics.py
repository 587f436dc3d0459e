"""OpenTelemetry instruments, and the plain counters behind them.

Names and units are documented in docs/operators/metrics.md.
"""

import aiohttp
from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk

__all__ = ["Counts", "Instruments", "Meters", "provider"]

_LATENCY_BUCKETS_S = [
    0.001, 0.002, 0.003, 0.005, 0.008, 0.012, 0.02, 0.05, 0.1, 0.5, 1, 2, 5,
]  # fmt: skip


class Counts:
    """Plain counters for the hot path, read when they are scraped.

    An addition to a dict costs a tenth of one to an instrument, which counts
    when it is done for every request.
    """

    def __init__(self):
        self._by_label: dict[str, float] = {}

    def add(self, label: str, amount: float = 1) -> None:
        """Adds to the counter of one label."""
        self._by_label[label] = self._by_label.get(label, 0) + amount

    def get(self, label: str) -> float:
        """Returns the counter of one label."""
        return self._by_label.get(label, 0)

    def by_label(self) -> dict[str, float]:
        """Returns a copy of all counters."""
        return dict(self._by_label)


class Meters:
    """All counters of one process, by metric name."""

    def __init__(self):
        self.requests = Counts()
        self.refusals = Counts()
        self.sends = Counts()
        self.control_bytes = Counts()
        self.control_messages = Counts()
        self.ownership = Counts()

    def count_http(
        self, kind: str, response: aiohttp.ClientResponse, sent: int
    ):
        """Counts a control exchange over HTTP: bodies and heads.

        Args:
            kind: Whom it was with; first part of the label.
            response: The answer, whose body was read.
            sent: Length of the request's body, in bytes.
        """
        asked = response.request_info
        head = sum(len(k) + len(v) + 4 for k, v in asked.headers.items())
        line = len(asked.method) + len(asked.url.raw_path_qs) + 12
        self.control_bytes.add(f"{kind}-sent", head + line + sent)
        head = sum(len(k) + len(v) + 4 for k, v in response.raw_headers)
        received = head + (response.content_length or 0)
        self.control_bytes.add(f"{kind}-received", received)
        self.control_messages.add(kind)

    def snapshot(self) -> dict[str, dict[str, float]]:
        """Returns every counter by metric name and label."""
        return {name: counts.by_label() for name, counts in vars(self).items()}


_DESCRIPTIONS = {
    "requests": ("swiftstile.requests", "{request}", "outcome"),
    "refusals": ("swiftstile.refusals", "{request}", "reason"),
    "sends": ("swiftstile.upstream.sends", "{send}", "result"),
    "control_bytes": ("swiftstile.control.bytes", "By", "direction"),
    "control_messages": ("swiftstile.control.messages", "{message}", "kind"),
    "ownership": ("swiftstile.ownership.changes", "{change}", "kind"),
}


class Instruments:
    """Binds the counters of a process to OpenTelemetry instruments."""

    def __init__(self, meters: Meters, source: sdk.MeterProvider):
        meter = source.get_meter("swiftstile")
        for name, (metric, unit, label) in _DESCRIPTIONS.items():
            counts = getattr(meters, name)
            meter.create_observable_counter(
                metric, [_observer(counts, label)], unit=unit
            )
        self.latency = meter.create_histogram(
            "swiftstile.request.duration",
            unit="s",
            explicit_bucket_boundaries_advisory=_LATENCY_BUCKETS_S,
        )


def _observer(counts: Counts, label: str):
    def observe(_options):
        for value, amount in counts.by_label().items():
            yield otel.Observation(amount, {label: value})

    return observe


def provider() -> sdk.MeterProvider:
    """Returns a provider whose instruments show on the scrape endpoint."""
    reader = prometheus.PrometheusMetricReader()
    return sdk.MeterProvider(metric_readers=[reader])

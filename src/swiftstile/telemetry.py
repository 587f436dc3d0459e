"""Exports the metrics of a process to Prometheus by OpenTelemetry.

Names and units are documented in docs/operators/metrics.md. Importing this
module takes about a fifth of the processor time of a start.
"""

from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
import prometheus_client

from swiftstile import metrics

__all__ = ["expose", "render"]

_LATENCY_BUCKETS_S = [
    0.001, 0.002, 0.003, 0.005, 0.008, 0.012, 0.02, 0.05, 0.1, 0.5, 1, 2, 5,
]  # fmt: skip

_INSTRUMENTS = {
    "requests": ("swiftstile.requests", "{request}", "outcome"),
    "refusals": ("swiftstile.refusals", "{request}", "reason"),
    "sends": ("swiftstile.upstream.sends", "{send}", "result"),
    "control_bytes": ("swiftstile.control.bytes", "By", "direction"),
    "control_messages": ("swiftstile.control.messages", "{message}", "kind"),
    "ownership": ("swiftstile.ownership.changes", "{change}", "kind"),
    "permits": ("swiftstile.permits", "{permit}", "kind"),
    "rows": ("swiftstile.rows.asked", "{question}", "result"),
    "advisories": ("swiftstile.upstream.advisories", "{answer}", "kind"),
    "links": ("swiftstile.upstream.links", "{event}", "kind"),
    "foreign_bytes": ("swiftstile.upstream.foreign", "{occurrence}", "kind"),
    "forwards": ("swiftstile.forwards", "{request}", "result"),
    "store_calls": ("swiftstile.store.calls", "{call}", "reason"),
    "returning": ("swiftstile.returning.callers", "{request}", "kind"),
    "queue_limits": ("swiftstile.queue.limits", "{request}", "rule"),
    "duty_failures": ("swiftstile.duty.failures", "{failure}", "duty"),
    "crashes": ("swiftstile.crashing.requests", "{request}", "kind"),
    "unanswered": ("swiftstile.exchanges.unanswered", "{exchange}", "how"),
}

_LEVELS = {
    "peer_bytes": ("swiftstile.peer.bytes", "By", "peers"),
    "connections": ("swiftstile.connections", "{connection}", "peers"),
}


def expose(meters: metrics.Meters) -> None:
    """Registers OpenTelemetry instruments for the meters of a process."""
    reader = prometheus.PrometheusMetricReader()
    meter = sdk.MeterProvider(metric_readers=[reader]).get_meter("swiftstile")
    for name, (metric, unit, label) in _INSTRUMENTS.items():
        counts = getattr(meters, name)
        meter.create_observable_counter(
            metric, [_observer(counts, label)], unit=unit
        )
    for name, (metric, unit, label) in _LEVELS.items():
        levels = getattr(meters, name)
        meter.create_observable_gauge(
            metric, [_observer(levels, label)], unit=unit
        )
    latency = meter.create_histogram(
        "swiftstile.request.duration",
        unit="s",
        explicit_bucket_boundaries_advisory=_LATENCY_BUCKETS_S,
    )
    meters.durations.bind(latency.record)


def render() -> bytes:
    """Returns all metrics of this process in the Prometheus text format."""
    return prometheus_client.generate_latest()


def _observer(counts: metrics.LabelledCounter | metrics.Levels, label: str):
    def observe(_options):
        for value, amount in counts.by_label().items():
            yield otel.Observation(amount, {label: value})

    return observe

"""Builds load rules and loads for tests."""

from swiftstile import metrics
from swiftstile.gateway import fair_shares
from swiftstile.gateway import load_rules
from swiftstile.gateway import queue_limits
from tests import load_simulation


def rules(
    has_limits: bool, has_shares: bool, on_contention=lambda *_: None
) -> load_rules.LoadRules:
    """Returns rules that are switched on or off."""
    return load_rules.LoadRules(
        queue_limits.QueueLimits(lambda: has_limits),
        fair_shares.FairShares(lambda: has_shares),
        metrics.LabelledCounter(),
        on_contention,
    )


def small_site(
    vms: int, streams: tuple[load_simulation.Stream, ...], **changes
) -> load_simulation.Load:
    """Returns a load of six upstreams of three slots, 120 requests/s.

    More than six VMs have an arbiter, as in `permits.py`.
    """
    fields = {
        "vms": vms,
        "upstreams": 6,
        "service_s": 0.15,
        "objective_s": 0.6,
        "report_interval_s": 0.025,
        "speeds": (1.0,),
        "has_arbiter": vms > 6,
        "streams": streams,
    }
    return load_simulation.Load(**(fields | changes))


def rejected_fraction(load: load_simulation.Load, priority: int | None = None):
    """Returns the fraction of a load's requests that are rejected.

    Args:
        load: The load.
        priority: Only requests of this priority; all if None.
    """
    outcomes = [
        outcome
        for outcome in load_simulation.Simulation(load).run().outcomes
        if priority in (None, outcome.stream.priority)
    ]
    return sum(not outcome.served for outcome in outcomes) / len(outcomes)

"""Fixtures: fleets of real processes, started once per module."""

import hypothesis
import pytest

from benchmarks import fleet as fleet_lib
from tests import builders

# Uses the same examples in every run, so that CI results are reproducible.
hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis.settings.load_profile("fixed")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """A fleet whose keyed servers check fences."""
    organisation = builders.tiny_organisation(checks_fence=True)
    folder = tmp_path_factory.mktemp("fleet")
    with fleet_lib.Fleet(organisation, folder, seed=1) as started:
        yield started


@pytest.fixture(scope="module")
def unfenced_fleet(tmp_path_factory):
    """A fleet whose keyed servers don't check fences."""
    organisation = builders.tiny_organisation(checks_fence=False)
    folder = tmp_path_factory.mktemp("unfenced")
    with fleet_lib.Fleet(organisation, folder, seed=1) as started:
        yield started

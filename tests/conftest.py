"""Fixtures that all tests share."""

import pytest
from hypothesis import HealthCheck, settings

from .common import FakeCluster

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "soak",
    derandomize=False,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


@pytest.fixture
def cluster() -> FakeCluster:
    """Three entry hosts that have settled, with four workers."""
    fake = FakeCluster()
    fake.run(6_000)
    return fake

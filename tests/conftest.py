"""Fixtures that all tests share."""

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

from quetzallock_standins.processes import LocalDeployment

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


@pytest.fixture(scope="session")
def local(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalDeployment]:
    """Two real daemons with Aveia's workers, the preset `ordinary` in force."""
    deployment = LocalDeployment("aveia", tmp_path_factory.mktemp("local"), entry_hosts=2)
    deployment.set_extra("calls", body_bytes=2_000)
    try:
        deployment.start()
        deployment.publish_presets("ordinary")
        yield deployment
    finally:
        deployment.stop()

"""Moves for wide tasks under random faults: nothing runs twice, and nothing is lost."""

from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from quetzallock_core.cells import defragmentation, packing
from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.policies import PACK, SPREAD
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step
from .test_faults import CANCEL_AFTER_MS, CellFaults


class FragmentationFaults(CellFaults):
    """The same with pieces that wide tasks fit into only after a move."""

    capacity = Resources(8_000, 64_000, 0)
    settle_ms = 60_000
    policy = PACK

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        FragmentationFaults.policy = SPREAD
        super().begin(seed=seed)
        needs = Resources(2_500, 2_000, 0)
        step = make_step(2, needs=needs, lasting=True, max_unavailable=1)
        for number in range(4):
            job = f"l{number}"
            self.lasting.append(job)
            self.cluster.submit(make_spec(job, step), POLICY, {0: None})
            self.cluster.run(300)
        FragmentationFaults.policy = PACK
        self.cluster.run(800)

    @precondition(lambda self: len(self.lasting) < 5)
    @rule(count=st.integers(1, 3), cancel_after_ms=CANCEL_AFTER_MS)
    def submit_lasting(self, count: int, cancel_after_ms: int | None) -> None:
        super().submit_lasting(count, cancel_after_ms)

    @rule(
        cpu=st.integers(4_000, 5_000),
        count=st.integers(1, 2),
        duration_ms=st.integers(300, 2_500),
        wait_ms=st.integers(0, 3_000),
    )
    def submit_wide(self, cpu: int, count: int, duration_ms: int, wait_ms: int) -> None:
        job = f"j{len(self.jobs)}"
        self.jobs.append(job)
        step = make_step(count, needs=Resources(cpu, 2_000, 0), estimate_ms=duration_ms)
        self.cluster.submit(make_spec(job, step), POLICY, {0: duration_ms})
        self.cluster.run(wait_ms)


@pytest.fixture(scope="module", autouse=True)
def move_early() -> Iterator[None]:
    """Let tasks be moved within the few seconds that an example takes."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(packing, "choose_policy", lambda *_: FragmentationFaults.policy)
        patch.setattr(packing, "MIN_POLICY_MS", 0)
        patch.setattr(defragmentation, "MIN_RUN_AGE_MS", 500)
        patch.setattr(defragmentation, "WAIT_LIMIT_MS", 300)
        yield


FragmentationFaults.TestCase.settings = settings(max_examples=40, stateful_step_count=20)
TestFragmentationFaults = FragmentationFaults.TestCase

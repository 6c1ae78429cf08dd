"""The fault machine with long-running tasks and workers that leave as planned."""

from hypothesis import strategies as st
from hypothesis.stateful import rule

from .faults import pick_worker
from .lasting import replace_worker, submit_lasting
from .machine import HOSTS, SHORT_MS, TARGETS, FaultMachine


class LastingMachine(FaultMachine):
    """Adds work that must run again soon in calm; apart, to keep the draws of the other machine."""

    @rule(
        host=HOSTS,
        tasks=st.integers(1, 4),
        cpu_milli=st.sampled_from([1_000, 2_000]),
        wait_ms=SHORT_MS,
    )
    def submit_lasting(self, host: str, tasks: int, cpu_milli: int, wait_ms: int) -> None:
        host = self.find_reachable(host)
        if host:
            submit_lasting(self.cluster, self.callers, host, tasks, cpu_milli)
            self.cluster.run(wait_ms)

    @rule(aim=TARGETS)
    def replace_worker(self, aim: int) -> None:
        replace_worker(self.cluster, pick_worker(self.cluster, aim))

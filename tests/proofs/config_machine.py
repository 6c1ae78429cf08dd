"""A Hypothesis state machine of configuration versions beside faults, single and together."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .config_scenario import CONFIG_FAULTS, ConfigScenario

HOST = st.sampled_from(["h0", "h1", "h2"])
HOSTS = st.sampled_from([["h0", "h1", "h2"], ["h0"], ["h1", "h2"]])
NAMES = st.sampled_from(sorted(CONFIG_FAULTS))
LASTS_MS = st.sampled_from([100, 300, 700, 2_000, 6_000])
WAIT_MS = st.integers(0, 60).map(lambda steps: 20 * steps)
CONNECTIONS = st.sampled_from([0, 1, 3, 7])
VERSIONS = st.sets(st.sampled_from(["before", "amid", "after"])).map(sorted)
JUDGED_MS = 3_600
"""Time within which hosts that were broken are in touch and past the bound of the last version."""


class ConfigMachine(RuleBasedStateMachine):
    """Publishes versions under faults, and checks that hosts go by them in time and never back."""

    def __init__(self) -> None:
        super().__init__()
        self.scenario = ConfigScenario()

    @rule(
        fault=NAMES,
        hosts=HOSTS,
        lasts_ms=LASTS_MS,
        connections=CONNECTIONS,
        wait_ms=WAIT_MS,
        versions=VERSIONS,
    )
    def break_for(
        self,
        fault: str,
        hosts: list[str],
        lasts_ms: int,
        connections: int,
        wait_ms: int,
        versions: list[str],
    ) -> None:
        self.scenario.break_for(fault, hosts, lasts_ms, connections, wait_ms, versions)
        self.scenario.run(JUDGED_MS)

    @rule(fault=NAMES, host=HOST, wait_ms=WAIT_MS)
    def begin(self, fault: str, host: str, wait_ms: int) -> None:
        self.scenario.begin(fault, host)
        self.scenario.run(wait_ms)

    @rule(fault=NAMES, host=HOST, wait_ms=WAIT_MS)
    def end(self, fault: str, host: str, wait_ms: int) -> None:
        self.scenario.end(fault, host)
        self.scenario.run(wait_ms)

    @rule(wait_ms=WAIT_MS)
    def publish(self, wait_ms: int) -> None:
        self.scenario.publish()
        self.scenario.run(wait_ms)

    @invariant()
    def versions_are_in_force_and_never_revert(self) -> None:
        assert not self.scenario.check.violations

    def teardown(self) -> None:
        try:
            assert not self.scenario.settle_and_check()
        finally:
            self.scenario.close()

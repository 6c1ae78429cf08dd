"""Hosts that follow the configuration while their links, the store or they themselves fail."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

import pytest

from quetzallock_core.registry import Registry
from quetzallock_daemon.transport import build_request
from quetzallock_platform.store import CONFIG_TOPIC, GROUP
from quetzallock_standins.emulator.configuration import (
    NO_ROUTE,
    QUEUE_HOST,
    ConfigurationBounds,
    ConfigurationCheck,
    ConfigurationOperator,
)
from tests.daemon.emulated_hosts import STEP_MS
from tests.daemon.store_links import STORE_ADDRESS, LinkedHosts

HOSTS: Final = 3
POWER: Final = 2_000
STARTING_MS: Final = 4_000
CALM_MS: Final = 6_000
"""Time after the last fault and version from which on all hosts must have the newest version."""
REQUEST_INTERVAL_MS: Final = 2 * STEP_MS
"""Time between two requests for a route at a host."""

REQUESTED_VERSIONS: Final = 4
"""Number of newest versions whose routes are requested."""
FILL_TIMEOUT_MS: Final = 2_000


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """A fault; both functions take the hosts and the name of the host that is hit.

    Attributes:
        hits_store: All hosts are out of touch with it.
        is_disturbance: A host that is hit is out of touch.
    """

    begin: Callable[[LinkedHosts, str], None]
    end: Callable[[LinkedHosts, str], None]
    hits_store: bool = False
    is_disturbance: bool = True


CONFIG_FAULTS: Registry[ConfigFault] = Registry("fault")


def _add_link_switch(name: str, attribute: str) -> None:
    def set_to(is_on: bool) -> Callable[[LinkedHosts, str], None]:
        return lambda hosts, host: setattr(hosts.get_link(host), attribute, is_on)

    CONFIG_FAULTS.register(name)(ConfigFault(set_to(True), set_to(False)))


def _add_store_mode(mode: str) -> None:
    def set_to(mode: str) -> Callable[[LinkedHosts, str], None]:
        return lambda hosts, _: setattr(hosts.server, "mode", mode)

    fault = ConfigFault(set_to(mode), set_to("up"), hits_store=True)
    CONFIG_FAULTS.register(f"store {mode}")(fault)


def _do_nothing(hosts: LinkedHosts, host: str) -> None:
    """Do nothing, for faults without an end of their own."""


def _begin_silence(hosts: LinkedHosts, host: str) -> None:
    link = hosts.get_link(host)
    link.is_silent = True
    link.silence()


def _end_silence(hosts: LinkedHosts, host: str) -> None:
    hosts.get_link(host).is_silent = False


def _begin_cut(hosts: LinkedHosts, host: str) -> None:
    hosts.get_link(host).is_cut = True


def _end_cut(hosts: LinkedHosts, host: str) -> None:
    hosts.get_link(host).end_cut()


def _compact(hosts: LinkedHosts, _host: str) -> None:
    hosts.store.get_partition(CONFIG_TOPIC, 0).compact()


def _restart(hosts: LinkedHosts, host: str) -> None:
    hosts.restart(host, POWER)


CONFIG_FAULTS.register("silence")(ConfigFault(_begin_silence, _end_silence))
CONFIG_FAULTS.register("cut")(ConfigFault(_begin_cut, _end_cut))
CONFIG_FAULTS.register("reset")(
    ConfigFault(lambda hosts, h: hosts.get_link(h).reset(), _do_nothing)
)
CONFIG_FAULTS.register("suspended")(ConfigFault(LinkedHosts.suspend, LinkedHosts.resume))
CONFIG_FAULTS.register("killed")(ConfigFault(LinkedHosts.kill, _restart))
CONFIG_FAULTS.register("compacted")(ConfigFault(_compact, _do_nothing, is_disturbance=False))
CONFIG_FAULTS.register("store behind")(
    ConfigFault(
        lambda hosts, _: hosts.server.freeze_reads(),
        lambda hosts, _: hosts.server.end_freeze(),
        hits_store=True,
    )
)
_add_link_switch("answers lost", "loses_answers")
_add_link_switch("refused", "is_refused")
_add_store_mode("mute")
_add_store_mode("slow")
_add_store_mode("down")


class ConfigScenario:
    """Three hosts, an operator that publishes versions, faults, and the check of the versions.

    Attributes:
        hosts: The hosts.
        operator: The operator.
        check: The check of what the hosts do with the versions.
    """

    def __init__(self, bounds: ConfigurationBounds | None = None) -> None:
        """Start the hosts with a first version in force, in touch."""
        self._patch = pytest.MonkeyPatch()
        self.hosts = LinkedHosts(self._patch, [POWER] * HOSTS)
        hosts = self.hosts
        self.operator = ConfigurationOperator(lambda: hosts.now, hosts.write_configuration)
        self.check = ConfigurationCheck(self.operator, bounds)
        self._active: set[tuple[str, str]] = set()
        for name in hosts.services:
            self.check.record_disturbance(name, hosts.now)
        self.operator.publish()
        self.run(STARTING_MS)

    def close(self) -> None:
        """Restore what the emulation has replaced."""
        self._patch.undo()

    def publish(self) -> None:
        """Publish a version."""
        self.operator.publish()

    def publish_then_invalid(self) -> None:
        """Publish a version, followed at once by a record that is no configuration."""
        self.operator.publish()
        self.operator.write_invalid()

    def fill_pool(self, host: str, connections: int) -> None:
        """Let a host make calls at once, so that it keeps their connections."""
        request = build_request("GET", f"/log-owners?group={GROUP}", STORE_ADDRESS)
        client = self.hosts.clients[host]
        for _ in range(connections):
            client.call(STORE_ADDRESS, request, FILL_TIMEOUT_MS).addErrback(lambda _: None)

    def begin(self, fault: str, host: str) -> None:
        """Start a fault, unless it is active."""
        if (fault, host) not in self._active:
            self._active.add((fault, host))
            CONFIG_FAULTS.get(fault).begin(self.hosts, host)
            self._record_disturbances()

    def end(self, fault: str, host: str) -> None:
        """End a fault if it is active."""
        if (fault, host) in self._active:
            self._record_disturbances()
            self._active.discard((fault, host))
            CONFIG_FAULTS.get(fault).end(self.hosts, host)

    def break_for(
        self,
        fault: str,
        hosts: list[str],
        lasts_ms: int,
        connections: int = 0,
        wait_ms: int = 0,
        versions: Collection[str] = (),
    ) -> None:
        """Break hosts, or the store, for a while.

        Args:
            fault: Name of the fault.
            hosts: The hosts that it hits.
            lasts_ms: Time from its start to its end.
            connections: Number of connections that the hosts have used just before.
            wait_ms: Time before its start, which decides where in its period each task is hit.
            versions: When a version is published: `before`, `amid` or `after` the fault.
        """
        for host in hosts:
            self.fill_pool(host, connections)
        self.run(wait_ms)
        self._publish_if("before" in versions)
        for host in hosts:
            self.begin(fault, host)
        self.run(lasts_ms // 2)
        self._publish_if("amid" in versions)
        self.run(lasts_ms - lasts_ms // 2)
        for host in hosts:
            self.end(fault, host)
        self._publish_if("after" in versions)

    def _publish_if(self, is_due: bool) -> None:
        if is_due:
            self.operator.publish()

    def run(self, ms: int) -> None:
        """Let time pass, and send requests for all routes to all hosts that run."""
        until = self.hosts.now + ms
        while self.hosts.now < until:
            self.hosts.run(STEP_MS)
            self._record_disturbances()
            if self.hosts.now % REQUEST_INTERVAL_MS == 0:
                self._send_requests()

    def _record_disturbances(self) -> None:
        for name, target in self._active:
            fault = CONFIG_FAULTS.get(name)
            if fault.is_disturbance:
                for host in self.hosts.services if fault.hits_store else [target]:
                    self.check.record_disturbance(host, self.hosts.now)

    def _send_requests(self) -> None:
        prefixes = self.operator.list_prefixes(REQUESTED_VERSIONS)
        for host, service in self.hosts.services.items():
            configuration = service.router.configuration
            if configuration is None or not self.hosts.is_running(host):
                continue
            for prefix in prefixes:
                queue = configuration.find_queue(QUEUE_HOST, prefix)
                outcome = queue.policy.service if queue else NO_ROUTE
                boot = self.hosts.boots[host]
                self.check.record(host, boot, prefix, outcome, self.hosts.now)

    def settle_and_check(self) -> list[str]:
        """End all faults, publish, and return the violations; all hosts must have the version."""
        for fault, host in sorted(self._active):
            self.end(fault, host)
        number = self.operator.publish().number
        self.run(CALM_MS)
        found = self.check.violations
        for host, service in self.hosts.services.items():
            configuration = service.router.configuration
            if configuration is None or configuration.version != number:
                found.append(f"{host} does not have the newest version in calm")
        return found

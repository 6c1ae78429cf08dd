"""Assembles an entry host from its domains."""

from dataclasses import dataclass, field
from random import Random

from . import jobs, members, placement, presets, reports, requests
from .clock import Clock
from .core import Core, Identity
from .jobs.client import JobClient
from .jobs.const import JobSettings
from .jobs.shards import Shards
from .members.const import MemberSettings
from .members.gossip import Members
from .placement.const import PlacementSettings
from .placement.placer import Placer
from .placement.racks import Racks
from .presets.const import PresetSettings
from .presets.sync import Presets
from .reports.collector import Reports
from .requests.const import RequestSettings
from .requests.router import Router


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The settings of all domains."""

    members: MemberSettings = field(default_factory=MemberSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    jobs: JobSettings = field(default_factory=JobSettings)
    presets: PresetSettings = field(default_factory=PresetSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)


@dataclass(frozen=True, slots=True)
class EntryHost:
    """The domains of one entry host, without network I/O."""

    core: Core
    members: Members
    racks: Racks
    placer: Placer
    shards: Shards
    jobs: JobClient
    presets: Presets
    router: Router
    reports: Reports

    def leave(self) -> None:
        """Announce that this host is stopping, so that racks, shards and keys move to others."""
        self.members.leave()

    @property
    def has_handed_over(self) -> bool:
        """Whether this host holds no worker leases and owns no shards any more."""
        return not self.placer.leased_workers and not self.shards.owned


def make_host(identity: Identity, settings: HostSettings, clock: Clock, rng: Random) -> EntryHost:
    """Create an entry host with all its domains."""
    core = Core(identity, clock, rng)
    member_list = members.setup(core, settings.members)
    racks = placement.Racks(core, member_list)
    placer = placement.setup(core, member_list, racks, settings.placement, settings.jobs.shards)
    shards = jobs.setup(core, racks, settings.jobs)
    client = JobClient(core, member_list, settings.jobs.shards)
    preset_state = presets.setup(core, member_list, settings.presets)
    router = requests.setup(core, member_list, racks, settings.requests)
    report_collector = reports.setup(core, member_list)
    core.fire(members.MembersChanged(member_list.reachable))
    return EntryHost(
        core, member_list, racks, placer, shards, client, preset_state, router, report_collector
    )

"""Which workers and racks there are, and which entry host each rack falls to."""

from ..core import Core
from ..helpers.hashing import choose_owner
from ..members import Members
from ..members.models import MembersChanged
from ..workers.models import NOTHING, Resources, WorkerInfo
from .models import RacksChanged, WorkersListed


class Racks:
    """The platform's host list, joined with the member list."""

    def __init__(self, core: Core, members: Members) -> None:
        self._core = core
        self._members = members
        self._infos: dict[str, WorkerInfo] = {}
        self._data_centres: dict[str, str] = {}
        self._names: tuple[str, ...] = ()
        self._owners: dict[str, str | None] = {}
        core.listen(WorkersListed, self._on_listed)
        core.listen(MembersChanged, self._on_members)

    @property
    def names(self) -> tuple[str, ...]:
        """All racks, in order of name."""
        return self._names

    @property
    def workers(self) -> dict[str, WorkerInfo]:
        """The workers that the platform last listed, by name."""
        return self._infos

    def find_rack(self, worker: str) -> str | None:
        """Return the rack of `worker`, or None where it is not listed."""
        info = self._infos.get(worker)
        return info.rack if info else None

    def find_data_centre(self, rack: str) -> str | None:
        """Return the data centre that `rack` stands in, if listed."""
        return self._data_centres.get(rack)

    def find_owner(self, rack: str) -> str | None:
        """Return the host that `rack` falls to."""
        if rack not in self._owners:
            candidates = self._list_candidates(rack)
            self._owners[rack] = choose_owner(f"rack/{rack}", candidates)
        return self._owners[rack]

    def find_holder(self, worker: str) -> str | None:
        """Return the host that acts for `worker`, or None where nobody is known to."""
        rack = self.find_rack(worker)
        return self.find_owner(rack) if rack else None

    def may_be_alive(self, worker: str) -> bool:
        """Tell whether the platform lists `worker`, or the list has not been read yet."""
        return worker in self._infos or not self._infos

    def could_hold(self, demand: Resources) -> bool:
        """Tell whether some listed worker is large enough, or may be for all that is known."""
        capacities = [info.capacity for info in self._infos.values()]
        if NOTHING in capacities or not capacities:
            return True
        return any(demand.fits(capacity) for capacity in capacities)

    def _list_candidates(self, rack: str) -> tuple[str, ...]:
        """Return the hosts in the rack's data centre, or all hosts where it has none."""
        data_centre = self.find_data_centre(rack)
        hosts = self._members.reachable
        near = tuple(host for host in hosts if self._members.data_centre_of(host) == data_centre)
        return near or hosts

    def _on_listed(self, event: WorkersListed, _source: str) -> None:
        infos = {info.worker: info for info in event.workers}
        if infos == self._infos:
            return
        self._infos = infos
        self._data_centres = {info.rack: info.data_centre for info in event.workers}
        self._names = tuple(sorted(self._data_centres))
        self._announce()

    def _on_members(self, _event: MembersChanged, _source: str) -> None:
        self._announce()

    def _announce(self) -> None:
        self._owners.clear()
        self._core.fire(RacksChanged())

"""The workers and racks that exist, and the entry host that owns each rack."""

from ..core import Core
from ..helpers.hashing import choose_owner
from ..members import Members
from ..members.models import MembersChanged
from ..workers.models import NOTHING, Resources, WorkerInfo
from .models import RacksChanged, WorkersListed


class Racks:
    """Combines the platform's host list with the member list."""

    def __init__(self, core: Core, members: Members) -> None:
        self._core = core
        self._members = members
        self._workers: dict[str, WorkerInfo] = {}
        self._data_centres: dict[str, str] = {}
        self._names: tuple[str, ...] = ()
        self._owners: dict[str, str | None] = {}
        core.listen(WorkersListed, self._on_listed)
        core.listen(MembersChanged, self._on_members)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all racks, sorted."""
        return self._names

    @property
    def workers(self) -> dict[str, WorkerInfo]:
        """The workers that the platform last listed, by name."""
        return self._workers

    def find_rack(self, worker: str) -> str | None:
        """Return the rack of `worker`, or None if it is not listed."""
        info = self._workers.get(worker)
        return info.rack if info else None

    def find_data_centre(self, rack: str) -> str | None:
        """Return the data centre of `rack`, or None if it is not listed."""
        return self._data_centres.get(rack)

    def find_owner(self, rack: str) -> str | None:
        """Return the host that owns `rack`, or None if there are no hosts."""
        if rack not in self._owners:
            candidates = self._list_candidates(rack)
            self._owners[rack] = choose_owner(f"rack/{rack}", candidates)
        return self._owners[rack]

    def find_holder(self, worker: str) -> str | None:
        """Return the host that holds the lease of `worker` or requests it, or None if unknown."""
        rack = self.find_rack(worker)
        return self.find_owner(rack) if rack else None

    def may_exist(self, worker: str) -> bool:
        """Return whether the platform lists `worker`, or the list has not been read yet."""
        return worker in self._workers or not self._workers

    def could_fit(self, demand: Resources) -> bool:
        """Return whether a listed worker has enough capacity, or one has an unknown capacity."""
        capacities = [info.capacity for info in self._workers.values()]
        if NOTHING in capacities or not capacities:
            return True
        return any(demand.fits(capacity) for capacity in capacities)

    def _list_candidates(self, rack: str) -> tuple[str, ...]:
        """Return the hosts in the rack's data centre, or all hosts if there are none in it."""
        data_centre = self.find_data_centre(rack)
        hosts = self._members.reachable
        local = tuple(host for host in hosts if self._members.data_centre_of(host) == data_centre)
        return local or hosts

    def _on_listed(self, event: WorkersListed, _source: str) -> None:
        infos = {info.worker: info for info in event.workers}
        if infos == self._workers:
            return
        self._workers = infos
        self._data_centres = {info.rack: info.data_centre for info in event.workers}
        self._names = tuple(sorted(self._data_centres))
        self._fire_change()

    def _on_members(self, _event: MembersChanged, _source: str) -> None:
        self._fire_change()

    def _fire_change(self) -> None:
        self._owners.clear()
        self._core.fire(RacksChanged())

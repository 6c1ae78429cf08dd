"""Which hosts join the group of cell owners, with the partition assignment of the store."""

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzallock_core.cells.candidacy import MAX_MEMBERS, Candidacy, Candidate
from quetzallock_platform_standin.store import Group, Member

STEP_MS = 100
TTL_MS = 1_500
CELL_PARTITION = 11
MAX_JOINS = 8
"""Joins for one vacancy that do no harm: twice as many as the group has members."""


class Hosts:
    """Hosts that decide for themselves; the running ones see the group in the store."""

    def __init__(self, powers: list[int], view_interval_ms: int = 0) -> None:
        self.view_interval_ms = view_interval_ms
        self.views: dict[str, list[Candidate]] = {}
        self.candidates = {f"h{n}": Candidate(power, f"h{n}") for n, power in enumerate(powers)}
        self.candidacies = {host: Candidacy(own, 0) for host, own in self.candidates.items()}
        self.running = set(self.candidates)
        self.group = Group()
        self.generations: dict[str, int] = {}
        self.now = 0
        self.owner_changes = 0

    @property
    def owner(self) -> str:
        return self.group.owners.get(CELL_PARTITION, "")

    def run(self, ms: int) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += STEP_MS
            before = self.owner
            for host in sorted(self.running):
                self._act(host)
            self._expire()
            self.owner_changes += self.owner != before

    def _act(self, host: str) -> None:
        candidacy = self.candidacies[host]
        if self.owner in self.running:
            candidacy.handle_owner_answer(self.now)
        listed = self._view_owners(host)
        is_member = host in self.group.members
        should_be_member = candidacy.should_be_member(listed, is_member, self.now)
        if should_be_member:
            generation = self.generations.get(host, 0)
            self.group.members[host] = Member(self.now + TTL_MS, generation)
        elif is_member:
            del self.group.members[host]
        if should_be_member != is_member:
            self.group.assign_partitions()
        elif is_member:
            self.group.reassign_released()
        self.generations[host] = self.group.generation if should_be_member else 0

    def _view_owners(self, host: str) -> list[Candidate]:
        """Return the members that own something, as the host last read them."""
        turn = int(host[1:]) * STEP_MS
        if not self.view_interval_ms or (self.now + turn) % self.view_interval_ms == 0:
            owners = sorted(set(self.group.owners.values()))
            self.views[host] = [self.candidates[name] for name in owners]
        return self.views.get(host, [])

    def _expire(self) -> None:
        gone = [name for name, member in self.group.members.items() if member.expires_at < self.now]
        if gone and set(gone) != set(self.group.members):
            for name in gone:
                del self.group.members[name]
            self.group.assign_partitions()


def test_the_strongest_hosts_become_the_members_and_stay_so() -> None:
    """Members that kept replacing each other would move the cell again and again."""
    hosts = Hosts([300, 430, 2_150, 600, 1_000, 1_800, 310, 1_500, 300, 450, 900, 2_000] * 2)
    hosts.run(10_000)
    assert len(hosts.group.members) == MAX_MEMBERS
    assert min(hosts.candidates[name].power for name in hosts.group.members) >= 2_000
    owner_changes = hosts.owner_changes
    hosts.run(20_000)
    assert hosts.owner_changes == owner_changes


def test_lost_member_is_replaced_by_one_host() -> None:
    """All hosts see the loss, but only one of them may join."""
    hosts = Hosts([430] * 7)
    hosts.run(10_000)
    members = set(hosts.group.members)
    hosts.running.remove(hosts.owner)
    hosts.run(6_000)
    assert len(set(hosts.group.members) - members) == 1
    assert hosts.owner in hosts.running


def test_few_hosts_fill_a_vacancy_that_many_see() -> None:
    """Each host reads the members once in a second, so that it sees joins late."""
    hosts = Hosts([430] * 90, view_interval_ms=1_000)
    hosts.run(20_000)
    members = set(hosts.group.members)
    hosts.running.remove(hosts.owner)
    joined: set[str] = set()
    for _ in range(120):
        hosts.run(STEP_MS)
        joined |= set(hosts.group.members) - members
    assert 1 <= len(joined) <= MAX_JOINS
    assert len(hosts.group.members) >= MAX_MEMBERS


def is_owner_kept(own_power: int) -> bool:
    """Return whether an owner stays a member beside as many others as the group has."""
    candidacy = Candidacy(Candidate(own_power, "a"), 0)
    candidacy.handle_owner_answer(0)
    others = [Candidate(430, f"h{number}") for number in range(MAX_MEMBERS)]
    return candidacy.should_be_member(others, True, 0, owns_cell=True)


def test_owner_is_not_replaced_by_hosts_as_strong() -> None:
    assert is_owner_kept(430)
    assert is_owner_kept(400)


def test_owner_is_replaced_by_clearly_stronger_hosts() -> None:
    assert not is_owner_kept(300)


def test_another_host_owns_the_cell_soon_after_all_members_have_died() -> None:
    hosts = Hosts([300, 2_000, 430, 2_000, 1_000, 2_000, 900, 2_000])
    hosts.run(10_000)
    hosts.running -= set(hosts.group.members)
    hosts.run(5_000)
    assert hosts.owner in hosts.running


@settings(max_examples=40, deadline=None)
@given(
    st.lists(st.integers(250, 2_200), min_size=1, max_size=12),
    st.lists(st.tuples(st.integers(0, 11), st.booleans(), st.integers(1, 40)), max_size=8),
)
def test_a_running_host_owns_the_cell_after_any_deaths_and_returns(
    powers: list[int], events: list[tuple[int, bool, int]]
) -> None:
    hosts = Hosts(powers)
    hosts.run(3_000)
    for number, returns, steps in events:
        host = f"h{number % len(powers)}"
        if returns and host not in hosts.running:
            hosts.candidacies[host] = Candidacy(hosts.candidates[host], hosts.now)
            hosts.running.add(host)
        else:
            hosts.running.discard(host)
        hosts.run(steps * STEP_MS)
    hosts.running.add("h0")
    hosts.run(8_000)
    assert hosts.owner in hosts.running

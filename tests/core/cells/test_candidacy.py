"""Which hosts become members of the group of owners, played with the store's way of dealing."""

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzallock_core.cells.candidacy import MOST_MEMBERS, Candidacy, Candidate
from quetzallock_platform_standin.store import Group, Member

STEP_MS = 100
TTL_MS = 1_500
CELL_PART = 11


class Hosts:
    """Hosts that decide for themselves; `living` ones see what the group's store says."""

    def __init__(self, powers: list[int]) -> None:
        self.candidates = {f"h{n}": Candidate(power, f"h{n}") for n, power in enumerate(powers)}
        self.minds = {host: Candidacy(one, 0) for host, one in self.candidates.items()}
        self.living = set(self.candidates)
        self.group = Group()
        self.now = 0
        self.moves = 0

    @property
    def owner(self) -> str:
        return self.group.owners.get(CELL_PART, "")

    def run(self, ms: int) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += STEP_MS
            before = self.owner
            for host in sorted(self.living):
                self._act(host)
            self._expire()
            self.moves += self.owner != before

    def _act(self, host: str) -> None:
        mind = self.minds[host]
        if self.owner in self.living:
            mind.note_heard(self.now)
        listed = [self.candidates[name] for name in set(self.group.owners.values())]
        is_member = host in self.group.members
        wanted = mind.decide(listed, is_member, self.now)
        if wanted:
            self.group.members[host] = Member(self.now + TTL_MS, 0)
        elif is_member:
            del self.group.members[host]
        if wanted != is_member:
            self.group.assign_partitions()

    def _expire(self) -> None:
        gone = [name for name, one in self.group.members.items() if one.expires_at < self.now]
        if gone and set(gone) != set(self.group.members):
            for name in gone:
                del self.group.members[name]
            self.group.assign_partitions()


def test_the_strongest_hosts_become_the_members_and_stay_so() -> None:
    hosts = Hosts([300, 430, 2_150, 600, 1_000, 1_800, 310, 1_500, 300, 450, 900, 2_000] * 2)
    hosts.run(10_000)
    assert len(hosts.group.members) == MOST_MEMBERS
    assert min(hosts.candidates[name].power for name in hosts.group.members) >= 2_000
    moves = hosts.moves
    hosts.run(20_000)
    assert hosts.moves == moves


def test_one_member_fewer_is_made_good_by_one_host() -> None:
    hosts = Hosts([430] * 7)
    hosts.run(10_000)
    members = set(hosts.group.members)
    hosts.living.remove(hosts.owner)
    hosts.run(6_000)
    assert len(set(hosts.group.members) - members) == 1
    assert hosts.owner in hosts.living


def test_other_hosts_own_the_cell_soon_after_all_members_have_died() -> None:
    hosts = Hosts([300, 2_000, 430, 2_000, 1_000, 2_000, 900, 2_000])
    hosts.run(10_000)
    hosts.living -= set(hosts.group.members)
    hosts.run(5_000)
    assert hosts.owner in hosts.living


@settings(max_examples=40, deadline=None)
@given(
    st.lists(st.integers(250, 2_200), min_size=1, max_size=12),
    st.lists(st.tuples(st.integers(0, 11), st.booleans(), st.integers(1, 40)), max_size=8),
)
def test_a_living_host_owns_the_cell_whatever_dies_and_returns(
    powers: list[int], events: list[tuple[int, bool, int]]
) -> None:
    hosts = Hosts(powers)
    hosts.run(3_000)
    for number, returns, steps in events:
        host = f"h{number % len(powers)}"
        if returns and host not in hosts.living:
            hosts.minds[host] = Candidacy(hosts.candidates[host], hosts.now)
            hosts.living.add(host)
        else:
            hosts.living.discard(host)
        hosts.run(steps * STEP_MS)
    hosts.living.add("h0")
    hosts.run(8_000)
    assert hosts.owner in hosts.living

"""When the stand-in's group moves a partition from a member that is alive to another one."""

from random import Random

import pytest

from quetzallock_platform_standin import store as standin_store
from quetzallock_platform_standin.store import PARTITION_COUNT, StandinStore

TTL_MS = 1_500
GROUP = "group"


class Members:
    """Members of a group, which join at a time that the test sets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 0
        self.store = StandinStore()
        monkeypatch.setattr(standin_store, "_now_ms", lambda: self.now)

    def join(self, member: str, generation: int = 0) -> tuple[int, set[int]]:
        """Return generation and partitions of the answer to a join call."""
        body = {"group": GROUP, "member": member, "topics": ["t"], "ttlMs": TTL_MS}
        answer = self.store.join(body | {"generation": generation})
        return answer["generation"], {part for _, part, _ in answer["parts"]}


@pytest.fixture
def members(monkeypatch: pytest.MonkeyPatch) -> Members:
    return Members(monkeypatch)


def test_partitions_of_a_member_are_not_taken_from_it_before_it_joins_with_the_generation(
    members: Members,
) -> None:
    first, everything = members.join("a")
    assert len(everything) == PARTITION_COUNT
    second, taken = members.join("b")
    assert not taken
    _, kept = members.join("a", first)
    assert len(kept) == PARTITION_COUNT // 2
    assert not members.join("b", second)[1]
    assert members.join("a", second)[1] == kept
    assert members.join("b", second)[1] == everything - kept


@pytest.mark.parametrize("is_leave", [True, False], ids=["leaves", "expires"])
def test_partitions_of_a_member_that_is_gone_are_not_held_back(
    members: Members, is_leave: bool
) -> None:
    _, everything = members.join("a")
    second, _ = members.join("b")
    if is_leave:
        members.store.leave({"group": GROUP, "member": "a"})
    else:
        members.now += TTL_MS
        members.join("b", second)
        members.now += 1
    assert members.join("b", second)[1] == everything


def test_partition_that_is_assigned_back_to_its_holder_is_not_lost(members: Members) -> None:
    first, everything = members.join("a")
    members.join("b")
    members.store.leave({"group": GROUP, "member": "b"})
    assert members.join("a", first)[1] == everything


def test_reassignment_of_all_partitions_waits_for_no_member(members: Members) -> None:
    first, _ = members.join("a")
    second, _ = members.join("b")
    members.store.rebalance(Random(1))
    assert len(members.join("b", second)[1]) == PARTITION_COUNT // 2
    assert len(members.join("a", first)[1]) == PARTITION_COUNT // 2


def test_no_member_is_left_without_partitions_beside_others_with_many(members: Members) -> None:
    generation = 0
    for count in range(1, PARTITION_COUNT + 1):
        members.join(f"m{count}", generation)
        for _ in range(2):
            answers = [members.join(f"m{n}", generation) for n in range(1, count + 1)]
            generation = answers[0][0]
        sizes = [len(parts) for _, parts in answers]
        assert sum(sizes) == PARTITION_COUNT
        assert max(sizes) - min(sizes) <= 1

"""How the stand-in's group assigns its partitions."""

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

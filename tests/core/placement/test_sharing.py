"""Slot leases of one rack: never more than its slots, and a fair share for each host."""

from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core.placement.models import RequestSlots, SlotLease, SlotUsage
from quetzallock_core.placement.sharing import RackSlotAllocator, SlotOffer
from quetzallock_core.placement.slots import SlotLedger

SLOTS = 8
WORKERS = ("w-0", "w-1", "w-2")
TTL_MS = 2_500
REQUEST_MS = 5_000
HOLDERS = ("a", "b", "c", "d")


def make_offers(slots: int = SLOTS) -> dict[str, SlotOffer]:
    """Return workers without leases."""
    return {name: SlotOffer(SlotLedger(slots, 0, 0, REQUEST_MS), TTL_MS) for name in WORKERS}


def request_slots(
    allocator: RackSlotAllocator,
    offers: dict[str, SlotOffer],
    holder: str,
    wanted: int,
    now: int,
    busy: dict[str, int] | None = None,
) -> tuple[SlotLease, ...]:
    """Request slots for a holder, with its busy slots by worker."""
    usage = tuple(
        SlotUsage(name, offer.ledger.slots_of(holder), (busy or {}).get(name, 0))
        for name, offer in offers.items()
    )
    return allocator.allocate(offers, RequestSlots("rack", 1, wanted, usage, holder), now)


STEPS = st.lists(
    st.tuples(st.sampled_from(HOLDERS), st.integers(0, 40), st.integers(0, 3_000), st.booleans()),
    max_size=40,
)


@given(STEPS)
def test_leases_never_exceed_the_slots(steps: list[tuple[str, int, int, bool]]) -> None:
    """A lease counts for as long as a request under it can run, whatever the order of requests."""
    allocator, offers = RackSlotAllocator(), make_offers()
    now = 0
    live: dict[tuple[str, str], tuple[int, int]] = {}
    for holder, wanted, wait, is_busy in steps:
        now += wait
        busy = {name: SLOTS for name in WORKERS} if is_busy else {}
        for lease in request_slots(allocator, offers, holder, wanted, now, busy):
            live[(holder, lease.worker)] = (lease.slots, now + lease.ttl_ms)
        for name in WORKERS:
            leased = sum(
                slots
                for (_, worker), (slots, until) in live.items()
                if worker == name and now < until
            )
            assert leased <= SLOTS


@given(st.lists(st.integers(1, 60), min_size=4, max_size=4))
def test_each_holder_gets_an_equal_share_or_what_it_requests(demands: list[int]) -> None:
    allocator, offers = RackSlotAllocator(), make_offers()
    for round_number in range(4):
        for holder, wanted in zip(HOLDERS, demands, strict=True):
            request_slots(allocator, offers, holder, wanted, round_number * 500)
    total = SLOTS * len(WORKERS)
    for holder, wanted in zip(HOLDERS, demands, strict=True):
        got = sum(offer.ledger.slots_of(holder) for offer in offers.values())
        assert got >= min(wanted, total // len(HOLDERS))


def test_remainder_does_not_starve_the_last_requesters() -> None:
    """A share that is rounded up must not use up the slots of later hosts.

    With six slots for four hosts, the first two got three each and the others none.
    """
    allocator, offers = RackSlotAllocator(), make_offers(slots=2)
    for round_number in range(4):
        for holder in HOLDERS:
            request_slots(allocator, offers, holder, 10, round_number * 500)
    got = [sum(offer.ledger.slots_of(name) for offer in offers.values()) for name in HOLDERS]
    assert sorted(got) == [1, 1, 2, 2]


def test_remainders_of_several_racks_go_to_different_holders() -> None:
    got = dict.fromkeys(HOLDERS, 0)
    for rack in range(12):
        allocator, offers = RackSlotAllocator(), make_offers(slots=2)
        for _ in range(4):
            for holder in HOLDERS:
                allocator.allocate(offers, RequestSlots(f"r-{rack}", 1, 10, (), holder), 0)
        for holder in HOLDERS:
            got[holder] += sum(offer.ledger.slots_of(holder) for offer in offers.values())
    assert sum(got.values()) == 12 * 6
    assert min(got.values()) > 12


def test_lapsed_slots_stay_committed_while_requests_can_run() -> None:
    allocator, offers = RackSlotAllocator(), make_offers()
    request_slots(allocator, offers, "a", 24, 0)
    assert not any(lease.slots for lease in request_slots(allocator, offers, "b", 24, TTL_MS + 1))
    later = TTL_MS + REQUEST_MS
    assert sum(lease.slots for lease in request_slots(allocator, offers, "b", 24, later)) == 24


def test_busy_slots_are_not_reclaimed() -> None:
    allocator, offers = RackSlotAllocator(), make_offers()
    request_slots(allocator, offers, "a", 24, 0)
    request_slots(allocator, offers, "b", 24, 0)
    busy = dict.fromkeys(WORKERS, SLOTS)
    leases = request_slots(allocator, offers, "a", 24, 500, busy)
    assert sum(lease.slots for lease in leases) == 24


@given(
    st.lists(
        st.tuples(st.sampled_from(HOLDERS), st.integers(0, 30), st.integers(0, 8)), max_size=40
    )
)
def test_slots_acquired_between_request_and_answer_are_counted(
    steps: list[tuple[str, int, int]],
) -> None:
    """A holder may use slots until it receives the answer that reclaims them."""
    allocator = RackSlotAllocator()
    offers = {"w-0": SlotOffer(SlotLedger(SLOTS, 0, 0, REQUEST_MS), TTL_MS)}
    limit = dict.fromkeys(HOLDERS, 0)
    in_use = dict.fromkeys(HOLDERS, 0)
    for number, (holder, wanted, acquired) in enumerate(steps):
        usage = SlotUsage("w-0", limit[holder], in_use[holder])
        request = RequestSlots("rack", number, wanted, (usage,), holder)
        in_use[holder] = min(limit[holder], acquired)
        (lease,) = allocator.allocate(offers, request, number * 100)
        limit[holder] = max(lease.slots, in_use[holder])
        assert sum(limit.values()) <= SLOTS


def test_slots_that_a_holder_no_longer_lists_are_free_at_once() -> None:
    """A holder that lists no slots uses none, so its slots must not wait for the lease to lapse.

    They stayed committed like those of a lapsed lease, and nobody could use them for 7.5 s.
    """
    allocator = RackSlotAllocator()
    offers = {"w-0": SlotOffer(SlotLedger(SLOTS, 0, 0, REQUEST_MS), TTL_MS)}
    allocator.allocate(offers, RequestSlots("rack", 1, 8, (), "a"), 0)
    allocator.allocate(offers, RequestSlots("rack", 2, 0, (SlotUsage("w-0", 8, 0),), "a"), 100)
    allocator.allocate(offers, RequestSlots("rack", 3, 0, (), "a"), 200)
    (lease,) = allocator.allocate(offers, RequestSlots("rack", 1, 8, (), "b"), 300)
    assert lease.slots == 8


def test_all_slots_of_a_rebooted_worker_count_as_committed() -> None:
    ledger = SlotLedger(SLOTS, SLOTS, 7_500, REQUEST_MS)
    assert ledger.grow("a", 1, 0, TTL_MS) == 0
    assert ledger.grow("a", 1, 7_500, TTL_MS) == 1

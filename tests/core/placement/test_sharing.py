"""Slot leases of one rack: never more than there are, and a fair part for everybody."""

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


def ask(
    sharing: RackSlotAllocator,
    offers: dict[str, SlotOffer],
    holder: str,
    wanted: int,
    now: int,
    busy: dict[str, int] | None = None,
) -> tuple[SlotLease, ...]:
    """Let a holder ask, with its busy slots by worker."""
    held = tuple(
        SlotUsage(name, offer.ledger.slots_of(holder), (busy or {}).get(name, 0))
        for name, offer in offers.items()
    )
    return sharing.allocate(offers, RequestSlots("rack", 1, wanted, held, holder), now)


STEPS = st.lists(
    st.tuples(st.sampled_from(HOLDERS), st.integers(0, 40), st.integers(0, 3_000), st.booleans()),
    max_size=40,
)


@given(STEPS)
def test_leases_never_exceed_the_slots(steps: list[tuple[str, int, int, bool]]) -> None:
    """Every lease counts for as long as a request under it can run."""
    sharing, offers = RackSlotAllocator(), make_offers()
    now = 0
    live: dict[tuple[str, str], tuple[int, int]] = {}
    for holder, wanted, wait, is_busy in steps:
        now += wait
        busy = {name: SLOTS for name in WORKERS} if is_busy else {}
        for lease in ask(sharing, offers, holder, wanted, now, busy):
            live[(holder, lease.worker)] = (lease.slots, now + lease.ttl_ms)
        for name in WORKERS:
            leased = sum(
                slots
                for (_, worker), (slots, until) in live.items()
                if worker == name and now < until
            )
            assert leased <= SLOTS


@given(st.lists(st.integers(1, 60), min_size=4, max_size=4))
def test_everybody_gets_an_equal_part_or_what_it_wants(wants: list[int]) -> None:
    sharing, offers = RackSlotAllocator(), make_offers()
    for round_number in range(4):
        for holder, wanted in zip(HOLDERS, wants, strict=True):
            ask(sharing, offers, holder, wanted, round_number * 500)
    total = SLOTS * len(WORKERS)
    for holder, wanted in zip(HOLDERS, wants, strict=True):
        got = sum(offer.ledger.slots_of(holder) for offer in offers.values())
        assert got >= min(wanted, total // len(HOLDERS))


def test_remainder_does_not_starve_the_last_askers() -> None:
    """Six slots for four hosts: the first two had three each, the others none."""
    sharing, offers = RackSlotAllocator(), make_offers(slots=2)
    for round_number in range(4):
        for holder in HOLDERS:
            ask(sharing, offers, holder, 10, round_number * 500)
    got = [sum(offer.ledger.slots_of(name) for offer in offers.values()) for name in HOLDERS]
    assert sorted(got) == [1, 1, 2, 2]


def test_remainders_of_several_racks_fall_to_different_holders() -> None:
    got = dict.fromkeys(HOLDERS, 0)
    for rack in range(12):
        sharing, offers = RackSlotAllocator(), make_offers(slots=2)
        for _ in range(4):
            for holder in HOLDERS:
                sharing.allocate(offers, RequestSlots(f"r-{rack}", 1, 10, (), holder), 0)
        for holder in HOLDERS:
            got[holder] += sum(offer.ledger.slots_of(holder) for offer in offers.values())
    assert sum(got.values()) == 12 * 6
    assert min(got.values()) > 12


def test_lapsed_slots_stay_taken_while_requests_can_run() -> None:
    sharing, offers = RackSlotAllocator(), make_offers()
    ask(sharing, offers, "a", 24, 0)
    assert not any(lease.slots for lease in ask(sharing, offers, "b", 24, TTL_MS + 1))
    later = TTL_MS + REQUEST_MS
    assert sum(lease.slots for lease in ask(sharing, offers, "b", 24, later)) == 24


def test_busy_slots_are_not_taken_back() -> None:
    sharing, offers = RackSlotAllocator(), make_offers()
    ask(sharing, offers, "a", 24, 0)
    ask(sharing, offers, "b", 24, 0)
    busy = dict.fromkeys(WORKERS, SLOTS)
    leases = ask(sharing, offers, "a", 24, 500, busy)
    assert sum(lease.slots for lease in leases) == 24


@given(
    st.lists(
        st.tuples(st.sampled_from(HOLDERS), st.integers(0, 30), st.integers(0, 8)), max_size=40
    )
)
def test_slots_taken_between_asking_and_answer_are_counted(
    steps: list[tuple[str, int, int]],
) -> None:
    """A holder uses slots right up to the answer that takes them back."""
    sharing = RackSlotAllocator()
    offers = {"w-0": SlotOffer(SlotLedger(SLOTS, 0, 0, REQUEST_MS), TTL_MS)}
    limit = dict.fromkeys(HOLDERS, 0)
    in_use = dict.fromkeys(HOLDERS, 0)
    for number, (holder, wanted, taking) in enumerate(steps):
        held = SlotUsage("w-0", limit[holder], in_use[holder])
        question = RequestSlots("rack", number, wanted, (held,), holder)
        in_use[holder] = min(limit[holder], taking)
        (lease,) = sharing.allocate(offers, question, number * 100)
        limit[holder] = max(lease.slots, in_use[holder])
        assert sum(limit.values()) <= SLOTS


def test_slots_that_an_asker_names_no_more_are_free_at_once() -> None:
    """They stayed taken for as long as a lapsed lease: 7.5 s of slots that nobody could use."""
    sharing = RackSlotAllocator()
    offers = {"w-0": SlotOffer(SlotLedger(SLOTS, 0, 0, REQUEST_MS), TTL_MS)}
    sharing.allocate(offers, RequestSlots("rack", 1, 8, (), "a"), 0)
    sharing.allocate(offers, RequestSlots("rack", 2, 0, (SlotUsage("w-0", 8, 0),), "a"), 100)
    sharing.allocate(offers, RequestSlots("rack", 3, 0, (), "a"), 200)
    (lease,) = sharing.allocate(offers, RequestSlots("rack", 1, 8, (), "b"), 300)
    assert lease.slots == 8


def test_rebooted_worker_counts_all_slots_as_taken() -> None:
    ledger = SlotLedger(SLOTS, SLOTS, 7_500, REQUEST_MS)
    assert ledger.grow("a", 1, 0, TTL_MS) == 0
    assert ledger.grow("a", 1, 7_500, TTL_MS) == 1

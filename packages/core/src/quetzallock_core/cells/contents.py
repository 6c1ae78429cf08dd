"""Decodes the journal of a cell into typed records."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from ..codec import decode
from ..exceptions import CodecError
from .records import (
    EarlyCancelRecord,
    FencesRecord,
    HandOverRecord,
    JobRecord,
    LearnedRecord,
    LeasesRecord,
    OwnerRecord,
    ProgressRecord,
    RunNumbersRecord,
    WorkerRecord,
)

HAND_OVER_KEY: Final = "handover"
_WORKER_PREFIX: Final = "worker/"


@dataclass(slots=True)
class Contents:
    """The newest records of a cell's journal.

    Attributes:
        jobs: Accepted jobs by id.
        progress: Progress of the jobs, by id.
        early_cancels: Cancels of jobs whose submission had not arrived, by job id.
        workers: Workers that orders may have gone to.
        learned: Estimates of earlier owners, if recorded.
        hand_over: What a planned hand-over left, if nothing was recorded since.
        owner: The last process that has owned the cell for long enough to be recorded.
        fences: How many fencing tokens an epoch has, if recorded.
        run_numbers: Run numbers that owners have reserved, if any.
        unreadable: Keys of records that cannot be decoded.
    """

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    progress: dict[str, ProgressRecord] = field(default_factory=dict)
    early_cancels: dict[str, EarlyCancelRecord] = field(default_factory=dict)
    workers: list[WorkerRecord] = field(default_factory=list)
    learned: LearnedRecord | None = None
    hand_over: HandOverRecord | LeasesRecord | None = None
    owner: OwnerRecord | None = None
    fences: FencesRecord | None = None
    run_numbers: RunNumbersRecord | None = None
    unreadable: list[str] = field(default_factory=list)

    @property
    def has_hand_over(self) -> bool:
        """Whether the journal holds a hand-over record, perhaps one of a later version.

        It is to be deleted before the next start: it no longer names all runs then.
        """
        return self.hand_over is not None or HAND_OVER_KEY in self.unreadable


def read_contents(rows: Mapping[str, bytes]) -> Contents:
    """Return the records in `rows`, which has the newest value of each key of a journal."""
    contents = Contents()
    for key, value in rows.items():
        try:
            record = decode(value)
        except CodecError:
            contents.unreadable.append(key)
            continue
        _add(contents, key, record)
    contents.workers += _make_unknown_boots(contents.unreadable)
    return contents


def _make_unknown_boots(unreadable: Iterable[str]) -> list[WorkerRecord]:
    """Return records of the workers whose own cannot be read, which may run tasks all the same."""
    return [
        WorkerRecord(key.removeprefix(_WORKER_PREFIX), "", boot_ms=0)
        for key in unreadable
        if key.startswith(_WORKER_PREFIX)
    ]


def _add(contents: Contents, key: str, record: object) -> None:
    if isinstance(record, JobRecord):
        contents.jobs[record.spec.job] = record
    elif isinstance(record, ProgressRecord):
        contents.progress[key.partition("/")[2]] = record
    elif isinstance(record, EarlyCancelRecord):
        contents.early_cancels[key.partition("/")[2]] = record
    elif isinstance(record, WorkerRecord):
        contents.workers.append(record)
    elif isinstance(record, LearnedRecord):
        contents.learned = record
    elif isinstance(record, HandOverRecord | LeasesRecord):
        contents.hand_over = record
    elif isinstance(record, OwnerRecord):
        contents.owner = record
    else:
        _add_single(contents, key, record)


def _add_single(contents: Contents, key: str, record: object) -> None:
    """Add a record of which a journal has one."""
    if isinstance(record, FencesRecord):
        contents.fences = record
    elif isinstance(record, RunNumbersRecord):
        contents.run_numbers = record
    else:
        contents.unreadable.append(key)

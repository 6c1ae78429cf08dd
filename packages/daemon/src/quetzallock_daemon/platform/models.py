"""Parsers for the bodies of the platform's HTTP interfaces."""

import json
from dataclasses import dataclass

import msgpack

from quetzallock_core.exceptions import CodecError
from quetzallock_core.workers.models import Resources, WorkerInfo


@dataclass(frozen=True, slots=True)
class LogPage:
    """A page of a stream, as PROTOCOLS.md defines it."""

    first: int
    next_offset: int
    records: tuple[tuple[int, bytes], ...]


def parse_page(body: bytes) -> LogPage:
    """Parse a page of a stream.

    Raises:
        CodecError: The body is not a page.
    """
    try:
        first, next_offset, records = msgpack.unpackb(body, use_list=False)
        return LogPage(
            int(first), int(next_offset), tuple((offset, record) for offset, record in records)
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise CodecError(f"cannot parse the log page: {error}") from None


def parse_host_list(body: bytes) -> tuple[WorkerInfo, ...]:
    """Parse a host list.

    Raises:
        CodecError: The body is not a host list.
    """
    try:
        rows = json.loads(body)["workers"]
        return tuple(
            WorkerInfo(
                row["worker"],
                row["rack"],
                row["data_centre"],
                row["address"],
                row.get("state") == "leaving",
                Resources(
                    row.get("cpu_milli", 0), row.get("memory_mb", 0), row.get("accelerators", 0)
                ),
            )
            for row in rows
        )
    except (ValueError, TypeError, KeyError) as error:
        raise CodecError(f"cannot parse the host list: {error!r}") from None

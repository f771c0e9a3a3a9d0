"""The parts in which a batch job is written to the platform's store."""

from __future__ import annotations

from collections.abc import Iterable

from damaskjunction.batch import BatchItem, JobRecord
from damaskjunction.core import DamaskjunctionError
from damaskjunction.core.units import MIB

MAX_PART_BYTES = 200_000
MAX_OBJECT_BYTES = 1 * MIB
ITEM_OVERHEAD_BYTES = 100  # of each item's JSON, beside its strings
STRING_OVERHEAD_BYTES = 6  # quotes and separators


class JobTooLargeError(DamaskjunctionError):
    """A job has an item, or a record, that no object of the store can hold."""


def check_sizes(record: JobRecord, items: tuple[BatchItem, ...]) -> None:
    """Check that objects of the store can hold a job.

    Raises
    ------
    JobTooLargeError
        When the record, or an item alone, is too large.
    """
    record_bytes = sum(_string_bytes(item_id) for item_id in record.item_ids)
    if record_bytes > MAX_OBJECT_BYTES:
        raise JobTooLargeError(
            f"the ids of a job's items may have {MAX_OBJECT_BYTES} bytes together, "
            f"got {record_bytes}"
        )
    for item in items:
        item_bytes = _item_bytes(item)
        if item_bytes > MAX_OBJECT_BYTES:
            raise JobTooLargeError(
                f"an item may have {MAX_OBJECT_BYTES} bytes as it is stored, got "
                f"{item_bytes} for {item.item_id!r:.80}"
            )


def split_items(items: tuple[BatchItem, ...]) -> list[tuple[BatchItem, ...]]:
    """Split items into parts that fit into one object of the store each."""
    parts: list[list[BatchItem]] = [[]]
    size = 0
    for item in items:
        item_bytes = _item_bytes(item)
        if parts[-1] and size + item_bytes > MAX_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += item_bytes
    return [tuple(part) for part in parts]


def items_bytes(items: Iterable[BatchItem]) -> int:
    """Return about how many bytes items take as they are stored."""
    return sum(_item_bytes(item) for item in items)


def _item_bytes(item: BatchItem) -> int:
    """Estimate the size of an item as it is stored, its body in base64."""
    strings = (item.item_id, item.path, *item.headers, *item.headers.values())
    n_string_bytes = sum(_string_bytes(string) for string in strings)
    return len(item.body) * 4 // 3 + n_string_bytes + ITEM_OVERHEAD_BYTES


def _string_bytes(string: str) -> int:
    return len(string) + STRING_OVERHEAD_BYTES

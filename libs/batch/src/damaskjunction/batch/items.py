"""Streaming parser that splits a JSON Lines upload into chunks of valid items."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterator
from typing import Any

from damaskjunction.batch.documents import (
    ItemDocument,
    ItemsDocument,
    SegmentDocument,
)
from damaskjunction.batch.jobs import MAX_JOB_ITEMS
from damaskjunction.core import Finding, SourceLocation, raise_findings
from damaskjunction.core.units import KIB

# The items and the results of a chunk are each stored as one object. The byte limits
# are below the platform's limit of 1 MiB per object.
MAX_CHUNK_ITEMS = 200
MAX_CHUNK_BYTES = 512 * KIB
MAX_CHUNK_RESULT_BYTES = 768 * KIB
BYTES_PER_TOKEN = 16  # assumed size of an output token
MAX_ITEM_TOKENS = MAX_CHUNK_RESULT_BYTES // BYTES_PER_TOKEN
MAX_LINE_BYTES = 256 * KIB
MAX_FINDINGS = 100
DEFAULT_MAX_TOKENS = 64

_ITEM_KEYS = {"prompt", "max_tokens"}


class ItemReader:
    """Parses and validates items incrementally and groups them into chunks.

    A chunk holds at most ``MAX_CHUNK_ITEMS`` items with at most ``MAX_CHUNK_BYTES``
    bytes of input, and its results are estimated to fit into
    ``MAX_CHUNK_RESULT_BYTES``. Memory use is bounded, as only the current chunk is
    buffered.

    Parameters
    ----------
    source : str
        Source name reported in the place of each finding.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._partial_line = b""
        self._line_number = 0
        self._digest = hashlib.sha256()
        self._findings: list[Finding] = []
        self._items: list[ItemDocument] = []
        self._first_index = 0
        self._item_bytes = 0
        self._result_bytes = 0
        self._n_items = 0
        self._chunk_item_counts: list[int] = []

    def feed(self, data: bytes) -> Iterator[ItemsDocument]:
        """Parse the next bytes of the body and yield the chunks completed by them.

        No chunk is yielded after an invalid line, as ``finish`` then fails.
        """
        self._digest.update(data)
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            yield from self._parse_line(line)
        if len(self._partial_line) > MAX_LINE_BYTES:
            # Bounds the buffer; one excess byte suffices to report the line later.
            self._partial_line = self._partial_line[: MAX_LINE_BYTES + 1]

    def finish(self) -> Iterator[ItemsDocument]:
        """Parse the last line and yield the last chunk.

        Raises
        ------
        FindingsError
            If any line is invalid, or the number of items is out of range. Contains
            at most ``MAX_FINDINGS`` findings, in line order.
        """
        if self._partial_line:
            yield from self._parse_line(self._partial_line)
            self._partial_line = b""
        if not 0 < self._n_items <= MAX_JOB_ITEMS:
            self._add_finding(
                f"expected 1 to {MAX_JOB_ITEMS} items, got {self._n_items}"
            )
        raise_findings("items", self._findings)
        if self._items:
            yield self._flush_chunk()

    def to_segment(self, upload: str) -> SegmentDocument:
        """Return the segment document of the complete upload."""
        return {
            "upload": upload,
            "n_items": self._n_items,
            "chunk_items": self._chunk_item_counts,
            "digest": self._digest.hexdigest(),
        }

    def _parse_line(self, line: bytes) -> Iterator[ItemsDocument]:
        self._line_number += 1
        if not line.strip():
            return
        item = self._parse_item(line)
        self._n_items += 1
        if item is None or self._findings:
            return
        n_result_bytes = item["max_tokens"] * BYTES_PER_TOKEN
        if self._items and self._exceeds_limits(len(line), n_result_bytes):
            yield self._flush_chunk()
        self._items.append(item)
        self._item_bytes += len(line)
        self._result_bytes += n_result_bytes

    def _exceeds_limits(self, n_item_bytes: int, n_result_bytes: int) -> bool:
        return (
            len(self._items) >= MAX_CHUNK_ITEMS
            or self._item_bytes + n_item_bytes > MAX_CHUNK_BYTES
            or self._result_bytes + n_result_bytes > MAX_CHUNK_RESULT_BYTES
        )

    def _flush_chunk(self) -> ItemsDocument:
        chunk: ItemsDocument = {"first": self._first_index, "items": self._items}
        self._first_index += len(self._items)
        self._chunk_item_counts.append(len(self._items))
        self._items = []
        self._item_bytes = 0
        self._result_bytes = 0
        return chunk

    def _parse_item(self, line: bytes) -> ItemDocument | None:
        if len(line) > MAX_LINE_BYTES:
            self._add_finding(f"the line is longer than {MAX_LINE_BYTES} bytes")
            return None
        try:
            document = json.loads(line)
        except (ValueError, RecursionError) as error:
            self._add_finding(f"invalid JSON: {error}")
            return None
        return validate_item(document, self._add_finding)

    def _add_finding(self, message: str, key: str = "") -> None:
        if len(self._findings) < MAX_FINDINGS:
            place = SourceLocation(self._source, self._line_number, key)
            self._findings.append(Finding(place, message))


def validate_item(
    document: Any, add_finding: Callable[[str, str], None]
) -> ItemDocument | None:
    """Validate an item and fill in its defaults.

    Returns None after reporting an error to ``add_finding``.
    """
    if not isinstance(document, dict):
        add_finding("expected a JSON object", "")
        return None
    unknown = sorted(document.keys() - _ITEM_KEYS)
    if unknown:
        add_finding(
            f"unknown key; expected one of: {', '.join(sorted(_ITEM_KEYS))}", unknown[0]
        )
        return None
    prompt = document.get("prompt")
    if not isinstance(prompt, str):
        add_finding(f"expected a string, got {prompt!r:.40}", "prompt")
        return None
    n_tokens = document.get("max_tokens", DEFAULT_MAX_TOKENS)
    is_number = isinstance(n_tokens, int) and not isinstance(n_tokens, bool)
    if not is_number or not 1 <= n_tokens <= MAX_ITEM_TOKENS:
        add_finding(
            f"expected an integer from 1 to {MAX_ITEM_TOKENS}, got {n_tokens!r:.40}",
            "max_tokens",
        )
        return None
    return {"prompt": prompt, "max_tokens": n_tokens}

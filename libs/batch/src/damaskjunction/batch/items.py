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
from damaskjunction.core import Finding, Place, raise_findings
from damaskjunction.core.units import KIB

CHUNK_ITEMS = 200
CHUNK_BYTES = 512 * KIB
RESULT_BYTES = 768 * KIB
BYTES_PER_TOKEN = 16
MAX_ITEM_TOKENS = RESULT_BYTES // BYTES_PER_TOKEN
MAX_LINE_BYTES = 256 * KIB
MAX_FINDINGS = 100
DEFAULT_MAX_TOKENS = 64

_ITEM_KEYS = {"prompt", "max_tokens"}


class ItemReader:
    """Parses and validates items incrementally and groups them into chunks.

    A chunk holds at most ``CHUNK_ITEMS`` items with at most ``CHUNK_BYTES`` bytes of
    input, and its results are estimated to fit into ``RESULT_BYTES``. Memory use is
    bounded, as only the current chunk is buffered.

    Parameters
    ----------
    source : str
        Source name reported in the place of each finding.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._rest = b""
        self._line = 0
        self._digest = hashlib.sha256()
        self._findings: list[Finding] = []
        self._items: list[ItemDocument] = []
        self._first = 0
        self._item_bytes = 0
        self._result_bytes = 0
        self._n_items = 0
        self._chunk_items: list[int] = []

    def feed(self, data: bytes) -> Iterator[ItemsDocument]:
        """Parse the next bytes of the body and yield the chunks completed by them."""
        self._digest.update(data)
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            yield from self._take_line(line)
        if len(self._rest) > MAX_LINE_BYTES:
            self._rest = self._rest[: MAX_LINE_BYTES + 1]

    def finish(self) -> Iterator[ItemsDocument]:
        """Parse the last line and yield the last chunk.

        Raises
        ------
        FindingsError
            If any line is invalid, or the number of items is out of range. Contains
            at most ``MAX_FINDINGS`` findings, in line order.
        """
        if self._rest:
            yield from self._take_line(self._rest)
            self._rest = b""
        if not 0 < self._n_items <= MAX_JOB_ITEMS:
            self._add(f"expected 1 to {MAX_JOB_ITEMS} items, got {self._n_items}")
        raise_findings("items", self._findings)
        if self._items:
            yield self._cut_chunk()

    def to_segment(self, upload: str) -> SegmentDocument:
        """Return the segment document of the whole upload."""
        return {
            "upload": upload,
            "n_items": self._n_items,
            "chunk_items": self._chunk_items,
            "digest": self._digest.hexdigest(),
        }

    def _take_line(self, line: bytes) -> Iterator[ItemsDocument]:
        self._line += 1
        if not line.strip():
            return
        item = self._read_item(line)
        self._n_items += 1
        if item is None or self._findings:
            return
        n_result_bytes = item["max_tokens"] * BYTES_PER_TOKEN
        if self._items and self._is_over(len(line), n_result_bytes):
            yield self._cut_chunk()
        self._items.append(item)
        self._item_bytes += len(line)
        self._result_bytes += n_result_bytes

    def _is_over(self, n_item_bytes: int, n_result_bytes: int) -> bool:
        return (
            len(self._items) >= CHUNK_ITEMS
            or self._item_bytes + n_item_bytes > CHUNK_BYTES
            or self._result_bytes + n_result_bytes > RESULT_BYTES
        )

    def _cut_chunk(self) -> ItemsDocument:
        chunk: ItemsDocument = {"first": self._first, "items": self._items}
        self._first += len(self._items)
        self._chunk_items.append(len(self._items))
        self._items = []
        self._item_bytes = 0
        self._result_bytes = 0
        return chunk

    def _read_item(self, line: bytes) -> ItemDocument | None:
        if len(line) > MAX_LINE_BYTES:
            self._add(f"the line is longer than {MAX_LINE_BYTES} bytes")
            return None
        try:
            document = json.loads(line)
        except (ValueError, RecursionError) as error:
            self._add(f"invalid JSON: {error}")
            return None
        return check_item(document, self._add)

    def _add(self, message: str, key: str = "") -> None:
        if len(self._findings) < MAX_FINDINGS:
            place = Place(self._source, self._line, key)
            self._findings.append(Finding(place, message))


def check_item(document: Any, add: Callable[[str, str], None]) -> ItemDocument | None:
    """Validate an item and fill in defaults; report errors to ``add``, return None."""
    if not isinstance(document, dict):
        add("expected a JSON object", "")
        return None
    unknown = sorted(document.keys() - _ITEM_KEYS)
    if unknown:
        add(
            f"unknown key; expected one of: {', '.join(sorted(_ITEM_KEYS))}", unknown[0]
        )
        return None
    prompt = document.get("prompt")
    if not isinstance(prompt, str):
        add(f"expected a string, got {prompt!r:.40}", "prompt")
        return None
    n_tokens = document.get("max_tokens", DEFAULT_MAX_TOKENS)
    is_number = isinstance(n_tokens, int) and not isinstance(n_tokens, bool)
    if not is_number or not 1 <= n_tokens <= MAX_ITEM_TOKENS:
        add(
            f"expected an integer from 1 to {MAX_ITEM_TOKENS}, got {n_tokens!r:.40}",
            "max_tokens",
        )
        return None
    return {"prompt": prompt, "max_tokens": n_tokens}

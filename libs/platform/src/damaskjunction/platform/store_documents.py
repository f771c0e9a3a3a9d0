"""Decoding of the store's responses, entry by entry.

An entry of which the content can't be read has None in its place, which no decoder of
a content accepts. One without a readable name or revision is left out. Either costs
that entry alone, and a response one line in the log.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, TypeVar

from damaskjunction.core import (
    SHAPE_ERRORS,
    MalformedError,
    PlatformUnavailableError,
    Revision,
    parse_json,
    parse_json_or_none,
    read_integer,
    read_object,
    read_text,
    split_array,
    split_object,
)
from damaskjunction.platform.store_objects import (
    ObjectChange,
    ObjectChanges,
    ObjectPage,
    PlatformObject,
)

logger = logging.getLogger(__name__)

MAX_LOGGED_ENTRIES = 5

T = TypeVar("T")


def decode_page(kind: str, body: bytes) -> ObjectPage:
    """Decode a page of objects.

    Raises
    ------
    PlatformUnavailableError
        If the page itself can't be read.
    """
    members, entries = _split_response(body, "Items")
    objects = _decode_each(kind, entries, _decode_object)
    try:
        revision = _read_revision(members["CurrentRev"])
        has_more = bool(members.get("HasMore")) and bool(objects)
    except SHAPE_ERRORS as error:
        raise _malformed(kind, error) from None
    return ObjectPage(objects, objects[-1].name if has_more else "", revision)


def decode_watch(kind: str, body: bytes) -> ObjectChanges:
    """Decode the changes that a watch has returned.

    Raises
    ------
    PlatformUnavailableError
        If the response itself can't be read.
    """
    members, entries = _split_response(body, "events")
    changes = _decode_each(kind, entries, _decode_change)
    try:
        return ObjectChanges(changes, _read_revision(members["CurrentRev"]))
    except SHAPE_ERRORS as error:
        raise _malformed(kind, error) from None


def decode_object(kind: str, body: bytes) -> PlatformObject:
    """Decode one object.

    Raises
    ------
    PlatformUnavailableError
        If its name or revision can't be read.
    """
    found = _decode_each(kind, [body], _decode_object)
    if not found:
        raise _malformed(kind, MalformedError("no name or revision"))
    return found[0]


def _malformed(kind: str, error: Exception) -> PlatformUnavailableError:
    return PlatformUnavailableError(f"{kind}: malformed store response: {error!r}")


def _split_response(body: bytes, key: str) -> tuple[dict[str, Any], list[Any]]:
    """Return the members of a response, and the entries in the list under ``key``.

    Entries are JSON values, or texts if one of them can't be read.
    """
    try:
        try:
            members = dict(read_object(parse_json(body)))
            entries = members.pop(key, None) or []
        except MalformedError:
            texts = split_object(body)
            entries = split_array(texts.pop(key, b"[]"))
            members = {name: parse_json(text) for name, text in texts.items()}
        if not isinstance(entries, list):
            raise MalformedError(f"{key} is no list")
    except MalformedError as error:
        raise _malformed(key, error) from None
    return members, entries


def _decode_each(
    kind: str, entries: list[Any], decode: Callable[[str, Any], T]
) -> tuple[T, ...]:
    decoded = []
    failures = []
    for entry in entries:
        try:
            decoded.append(decode(kind, entry))
        except SHAPE_ERRORS as error:
            failures.append(f"{error!r}"[:200])
    if failures:
        extra = {
            "kind": kind,
            "n_entries": len(failures),
            "errors": failures[:MAX_LOGGED_ENTRIES],
        }
        logger.warning("entries left out", extra=extra)
    return tuple(decoded)


def _decode_object(kind: str, entry: Any) -> PlatformObject:
    members = _read_members(kind, entry)
    metadata = members["Metadata"]
    return PlatformObject(
        kind,
        read_text(metadata["Name"], may_be_empty=False),
        _read_revision(metadata["Revision"]),
        members.get("Spec"),
        members.get("Status"),
    )


def _decode_change(kind: str, entry: Any) -> ObjectChange:
    if isinstance(entry, bytes):
        members = split_object(entry)
        is_removed = parse_json(members["Removed"])
        return ObjectChange(_decode_object(kind, members["Object"]), bool(is_removed))
    return ObjectChange(_decode_object(kind, entry["Object"]), bool(entry["Removed"]))


def _read_members(kind: str, entry: Any) -> Any:
    """Return the members of an entry; a content that can't be read is None."""
    if not isinstance(entry, bytes):
        return read_object(entry)
    try:
        return read_object(parse_json(entry))
    except MalformedError as error:
        texts = split_object(entry)
        members = {"Metadata": read_object(parse_json(texts["Metadata"]))}
        extra = {"kind": kind, "entry": str(members["Metadata"].get("Name"))[:200]}
        logger.warning("entry not readable", extra={**extra, "error": str(error)})
        for key in ("Spec", "Status"):
            members[key] = parse_json_or_none(texts.get(key, b"null"))
        return members


def _read_revision(value: object) -> Revision:
    return read_integer(value, least=0)

"""Reader of ``peer.thrift``, the description of the messages between hosts.

The file uses a small part of thrift's language: structs of numbered fields, each on a
line of its own, and comments. A host reads it whenever it starts, so the reader does
no more than that; a parser of the whole language first makes tables for its grammar.
"""

from __future__ import annotations

import re
from typing import NamedTuple

_STRUCT = re.compile(r"struct (\w+) \{")
_FIELD = re.compile(r"(\d+): (\w+(?:<\w+>)?) (\w+)")


class Field(NamedTuple):
    """A field of a struct; ``type_name`` is its type as the file spells it."""

    number: int
    type_name: str
    name: str


def read_structs(text: str) -> dict[str, tuple[Field, ...]]:
    """Return the fields of each struct by its name, in order of their numbers.

    Raises
    ------
    ValueError
        If a line is neither part of a struct nor a comment.
    """
    fields_by_struct: dict[str, list[Field]] = {}
    fields: list[Field] | None = None
    for number, line in enumerate(text.splitlines(), 1):
        words = line.strip()
        if not words or words.startswith("//"):
            continue
        if fields is None and (struct := _STRUCT.fullmatch(words)):
            fields = fields_by_struct[struct[1]] = []
        elif fields is not None and (field := _FIELD.fullmatch(words)):
            fields.append(Field(int(field[1]), field[2], field[3]))
        elif fields is not None and words == "}":
            fields = None
        else:
            raise ValueError(f"line {number} is no part of a struct: {words!r}")
    return {name: tuple(sorted(fields)) for name, fields in fields_by_struct.items()}

"""Record samples of the messages and stored objects of the present build.

A sample lies with the tests of the library that owns it. Later builds have to decode
it, since hosts of two builds run side by side during an upgrade.
"""

from __future__ import annotations

import json
from enum import StrEnum
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import damaskjunction.gateway.root  # noqa: F401 - registers all messages
from damaskjunction.wire import encode_message, message_types

ROOT = Path(__file__).resolve().parent.parent
WIRE = ROOT / "libs/wire"
SAMPLES = WIRE / "features/landed/messages.json"
SCHEMA = WIRE / "features/landed/peer.thrift"


def sample_value(hint: Any, name: str) -> Any:
    """Return a value of a field that differs from all defaults."""
    if get_origin(hint) is not None:
        return (sample_value(get_args(hint)[0], name),)
    if hasattr(hint, "_fields"):
        return make_sample(hint)
    if issubclass(hint, StrEnum):
        return list(hint)[-1]
    if issubclass(hint, bool):
        return True
    if issubclass(hint, bytes):
        return name.encode()
    return name if issubclass(hint, str) else hint(7)


def make_sample(message_type: Any) -> Any:
    """Return a message all of whose fields are set."""
    hints = get_type_hints(message_type)
    return message_type(
        *(sample_value(hints[name], name) for name in message_type._fields)
    )


def to_document(value: Any) -> Any:
    """Return a message as values that JSON can hold."""
    if hasattr(value, "_asdict"):
        return {name: to_document(part) for name, part in value._asdict().items()}
    if isinstance(value, tuple):
        return [to_document(part) for part in value]
    return value.decode() if isinstance(value, bytes) else value


def main() -> None:
    """Write the samples and the schema that they were encoded with."""
    samples = {}
    for kind in sorted(message_types):
        message = make_sample(message_types.get(kind))
        samples[kind] = {
            "bytes": encode_message(message).hex(),
            "fields": to_document(message),
        }
    SAMPLES.write_text(json.dumps(samples, indent=1, sort_keys=True) + "\n")
    schema = WIRE / "src/damaskjunction/wire/peer.thrift"
    SCHEMA.write_text(schema.read_text())


if __name__ == "__main__":
    main()

"""Encoding of messages in thrift's binary protocol.

A message is a ``NamedTuple`` whose fields have the names and order of the thrift
struct of the same name in ``peer.thrift``. A field may hold a tuple of messages, which
is encoded as a list of their structs. A field that was added later needs a default,
which stands for it in messages of hosts that run an older version. The structs are
loaded when the module is imported, so no generated code is needed.
"""

from __future__ import annotations

import math
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple, TypeAlias, get_args, get_origin, get_type_hints

from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.transport import TCyMemoryBuffer

from damaskjunction.core import DamaskjunctionError, Registry
from damaskjunction.wire.layout import check_struct
from damaskjunction.wire.structs import load_structs

Message: TypeAlias = Any

_structs = load_structs(Path(__file__).with_name("peer.thrift"))
_protocol_factory: Any = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]

message_types: Registry[type[Any]] = Registry("message")


class DecodeError(DamaskjunctionError):
    """Bytes from a peer are not a valid message of the protocol."""


class _Conversion(NamedTuple):
    """Conversion of a field from its thrift value to its typed value.

    ``element`` names the message type of the elements of a tuple; it is empty for
    other fields. ``is_text`` tells fields that hold a text or a tuple of texts.
    """

    enum: type[StrEnum] | None = None
    element: str = ""
    is_text: bool = False


_conversions_by_kind: dict[str, tuple[_Conversion, ...]] = {}


def register_message(kind: type[Any]) -> type[Any]:
    """Register a message type whose thrift struct has the same name and fields.

    Raises
    ------
    ValueError
        If the fields of the struct differ.
    """
    struct = getattr(_structs, kind.__name__)
    names = tuple(spec[1] for _, spec in sorted(struct.thrift_spec.items()))
    if names != kind._fields:
        raise ValueError(
            f"{kind.__name__}: thrift fields {names} differ from {kind._fields}"
        )
    hints = get_type_hints(kind)
    _conversions_by_kind[kind.__name__] = tuple(
        _Conversion(
            _enum_type_of(hints[name]),
            _message_name_of(hints[name]),
            hints[name] is str or get_args(hints[name])[:1] == (str,),
        )
        for name in names
    )
    message_types.register(kind.__name__)(kind)
    return kind


def _enum_type_of(hint: Any) -> type[StrEnum] | None:
    is_enum = isinstance(hint, type) and issubclass(hint, StrEnum)
    return hint if is_enum else None


def _message_name_of(hint: Any) -> str:
    """Return the name of the message type in a tuple type, else an empty string."""
    if get_origin(hint) is not tuple:
        return ""
    name: str = get_args(hint)[0].__name__
    return name if name in message_types else ""


class Frame(NamedTuple):
    """One frame on a connection.

    ``kind`` names the type of the message and ``body`` is its encoding. Both are empty
    in frames that carry no message.
    """

    call_id: int
    operation: int
    kind: str = ""
    body: bytes = b""


def encode_message(message: Message) -> bytes:
    """Return the encoding of a registered message."""
    return _encode(_to_struct(message))


def _to_struct(message: Message) -> Any:
    kind = type(message).__name__
    values = (
        [_to_struct(element) for element in value] if conversion.element else value
        for value, conversion in zip(message, _conversions_by_kind[kind], strict=True)
    )
    return getattr(_structs, kind)(*values)


def decode_message(kind: str, body: bytes) -> Message:
    """Return the message of type ``kind`` encoded in ``body``.

    Raises
    ------
    DecodeError
        If the kind is unknown or the bytes are not a message of that kind.
    """
    if kind not in message_types:
        raise DecodeError(f"unknown message kind {kind!r}")
    struct = _decode(getattr(_structs, kind), body)
    try:
        return _to_message(kind, struct)
    except ValueError as error:
        raise DecodeError(f"{kind}: {error}") from None


def _to_message(kind: str, struct: Any) -> Message:
    """Return the message of a struct; a field that is missing has its default."""
    message_type = message_types.get(kind)
    defaults = message_type._field_defaults
    values = []
    for name, conversion in zip(
        message_type._fields, _conversions_by_kind[kind], strict=True
    ):
        value = getattr(struct, name)
        if value is None and name not in defaults:
            raise ValueError(f"missing field {name}")
        values.append(defaults[name] if value is None else _convert(value, conversion))
    return message_type(*values)


def _convert(value: Any, conversion: _Conversion) -> Any:
    if conversion.element:
        return tuple(_to_message(conversion.element, struct) for struct in value)
    if conversion.enum is not None:
        return conversion.enum(value)
    if conversion.is_text:
        _check_text(value)
    elif isinstance(value, float) and math.isnan(value):
        raise ValueError("not a number")
    return value


def _check_text(value: Any) -> None:
    """Check a text, or a list of them; the codec leaves bytes that are no UTF-8."""
    texts = value if isinstance(value, list) else [value]
    if not all(isinstance(text, str) for text in texts):
        raise ValueError("a text is not valid UTF-8")


def _encode(value: Any) -> bytes:
    transport = TCyMemoryBuffer()
    _protocol_factory.get_protocol(transport).write_struct(value)
    return bytes(transport.getvalue())


def _decode(struct: Any, body: bytes) -> Any:
    value = struct()
    try:
        check_struct(body)
        _protocol_factory.get_protocol(TCyMemoryBuffer(body)).read_struct(value)
        return value
    except Exception as error:
        raise DecodeError(f"{struct.__name__}: {error!r}") from None


def encode_frame(frame: Frame) -> bytes:
    """Return the encoding of a frame, without the length prefix."""
    return _encode(_structs.Frame(*frame))


def decode_frame(data: bytes) -> Frame:
    """Return the frame encoded in ``data``.

    Raises
    ------
    DecodeError
        If the bytes are not a valid frame.
    """
    struct = _decode(_structs.Frame, data)
    if struct.call_id is None or struct.operation is None:
        raise DecodeError("Frame: missing field")
    return Frame(
        struct.call_id, struct.operation, struct.kind or "", struct.body or b""
    )

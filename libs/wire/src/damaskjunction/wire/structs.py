"""The thrift library's structs of the messages, made from ``peer.thrift``."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any, Final

from thriftpy2.thrift import TPayload, TType, gen_init

from damaskjunction.wire.schema import Field, read_structs

_LIST_PREFIX: Final = "list<"
_TYPES_BY_NAME: Final = {
    "binary": TType.BINARY,
    "bool": TType.BOOL,
    "byte": TType.BYTE,
    "double": TType.DOUBLE,
    "i32": TType.I32,
    "i64": TType.I64,
    "string": TType.STRING,
}


def load_structs(path: Path) -> SimpleNamespace:
    """Return the structs that a file describes, as attributes.

    A list may hold structs that stand before it in the file.

    Raises
    ------
    ValueError
        If the file has a line that the reader does not know.
    KeyError
        If a field has an unknown type.
    """
    structs = SimpleNamespace()
    for name, fields in read_structs(path.read_text()).items():
        setattr(structs, name, _make_struct(name, fields, vars(structs)))
    return structs


def _make_struct(name: str, fields: tuple[Field, ...], known: dict[str, Any]) -> Any:
    struct: Any = type(name, (TPayload,), {"_ttype": TType.STRUCT})
    specs = {field.number: _make_spec(field, known) for field in fields}
    return gen_init(struct, specs, [(field.name, None) for field in fields])


def _make_spec(field: Field, known: dict[str, Any]) -> tuple[Any, ...]:
    """Return a field's specification in the form that the thrift library reads."""
    is_required = False
    if not field.type_name.startswith(_LIST_PREFIX):
        return (_TYPES_BY_NAME[field.type_name], field.name, is_required)
    element = field.type_name.removeprefix(_LIST_PREFIX).removesuffix(">")
    element_spec = _TYPES_BY_NAME.get(element) or (TType.STRUCT, known[element])
    return (TType.LIST, field.name, element_spec, is_required)

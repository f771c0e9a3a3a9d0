"""Checks of texts that are to be sent in the head of a request."""

from __future__ import annotations

import re
from collections.abc import Mapping

from damaskjunction.core import MalformedError, read_object, read_text

_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(r"[!-~\xa1-\xff](?:[ -~\t\xa1-\xff]*[!-~\xa1-\xff])?")
_TARGET = re.compile(r"/[!-~]*")


def read_header_value(value: object) -> str:
    """Return a text that can be the value of a header.

    Raises
    ------
    MalformedError
        If the value is no such text.
    """
    text = read_text(value, may_be_empty=False)
    if not _VALUE.fullmatch(text):
        raise MalformedError(f"expected the value of a header, got {text[:80]!r}")
    return text


def read_headers(value: object) -> Mapping[str, str]:
    """Return headers by their names in lower case.

    Raises
    ------
    MalformedError
        If the value holds no headers.
    """
    headers = {}
    for name, text in read_object(value).items():
        if not _NAME.fullmatch(name):
            raise MalformedError(f"expected the name of a header, got {name[:80]!r}")
        headers[name.lower()] = read_header_value(text) if text != "" else ""
    return headers


def read_target(value: object) -> str:
    """Return a text that can be the target of a request.

    Raises
    ------
    MalformedError
        If the value is no such text.
    """
    text = read_text(value)
    if not _TARGET.fullmatch(text):
        raise MalformedError(f"expected a path, got {text[:80]!r}")
    return text

"""Numeric parameters of the queries of job routes."""

from __future__ import annotations

from damaskjunction.http import HttpError, Request


def read_number(
    request: Request, key: str, default: float, maximum: float, *, minimum: float = 0
) -> float:
    """Return a numeric parameter of the query.

    Raises
    ------
    HttpError
        With status 400 when it is not a number or out of range.
    """
    text = request.query.get(key)
    try:
        value = default if text is None else float(text)
    except ValueError:
        value = float("nan")
    if not minimum <= value <= maximum:
        detail = f"expected {minimum:g} to {maximum:g}, got {text!r:.40}"
        raise HttpError(400, "bad_request", detail, key=key)
    return value

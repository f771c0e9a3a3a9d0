"""Fault injection for stand-ins, controlled at run time.

``PUT /test/faults`` takes a JSON object with the values to change, by fault name, and
returns the values of all faults.
"""

from __future__ import annotations

from typing import Any

from damaskjunction.http import Request, Response, Routes, read_json, to_json_response


class Faults:
    """Fault settings of a stand-in, by name; all are 0 (off) until set.

    Parameters
    ----------
    names : str
        Faults that the stand-in supports.
    """

    def __init__(self, *names: str) -> None:
        self._values_by_name: dict[str, Any] = dict.fromkeys(names, 0)

    def __getitem__(self, name: str) -> Any:
        return self._values_by_name[name]

    def __setitem__(self, name: str, value: Any) -> None:
        if name not in self._values_by_name:
            raise KeyError(
                f"unknown fault {name!r}; known: {sorted(self._values_by_name)}"
            )
        self._values_by_name[name] = value

    def consume(self, name: str) -> bool:
        """Decrement a fault's counter; return False if it was already 0."""
        if self._values_by_name[name] <= 0:
            return False
        self._values_by_name[name] -= 1
        return True

    def register(self, routes: Routes) -> None:
        """Add the route ``PUT /test/faults``."""

        @routes.register("PUT", "/test/faults")
        async def set_faults(request: Request) -> Response:
            for name, value in (await read_json(request)).items():
                self[name] = value
            return to_json_response(self._values_by_name)

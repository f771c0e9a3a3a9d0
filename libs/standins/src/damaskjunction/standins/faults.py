"""Faults of a stand-in, switched on and off at run time.

A stand-in answers ``PUT /test/faults`` with the values to change, by name.
"""

from __future__ import annotations

from typing import Any

from damaskjunction.http import Request, Response, Routes, read_json, to_json_response


class Faults:
    """Named values that a stand-in looks at; all are 0 until set.

    Parameters
    ----------
    names : str
        The faults that the stand-in knows.
    """

    def __init__(self, *names: str) -> None:
        self._values_by_name: dict[str, Any] = dict.fromkeys(names, 0)

    def __getitem__(self, name: str) -> Any:
        return self._values_by_name[name]

    def __setitem__(self, name: str, value: Any) -> None:
        if name not in self._values_by_name:
            raise KeyError(f"no fault {name!r}; known: {sorted(self._values_by_name)}")
        self._values_by_name[name] = value

    def take(self, name: str) -> bool:
        """Count a fault down by one; return whether it was due."""
        if self._values_by_name[name] <= 0:
            return False
        self._values_by_name[name] -= 1
        return True

    def register(self, routes: Routes) -> None:
        """Serve ``PUT /test/faults``."""

        @routes.register("PUT", "/test/faults")
        async def set_faults(request: Request) -> Response:
            for name, value in (await read_json(request)).items():
                self[name] = value
            return to_json_response(self._values_by_name)

"""The error of requests whose key does not allow them."""

from __future__ import annotations

from damaskjunction.core import DamaskjunctionError
from damaskjunction.routing import KeyDenial


class UnauthorizedError(DamaskjunctionError):
    """A request needs the key of a workspace, and has none.

    Parameters
    ----------
    denial : KeyDenial
        Why the caller has no workspace.
    """

    def __init__(self, denial: KeyDenial | None) -> None:
        self.denial = denial or KeyDenial.NO_KEY
        super().__init__(self.denial.value)

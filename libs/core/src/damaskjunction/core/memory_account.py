"""One account of the memory that a process holds for others."""

from __future__ import annotations


class MemoryAccount:
    """Bounds what all parts of a process hold together.

    Each part has a limit of its own besides. ``parts_by_name`` holds them all.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all parts hold at once.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.n_bytes = 0
        self.parts_by_name: dict[str, MemoryPart] = {}

    def open_part(self, name: str, limit_bytes: int) -> MemoryPart:
        """Return a new part of the account."""
        part = MemoryPart(limit_bytes, self)
        self.parts_by_name[name] = part
        return part


class MemoryPart:
    """What one part of a process holds for others.

    Parameters
    ----------
    limit_bytes : int
        Bytes that it holds at once.
    account : MemoryAccount, optional
        Counts what all parts hold; without one, the part stands alone.
    """

    def __init__(self, limit_bytes: int, account: MemoryAccount | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.n_bytes = 0
        self._account = account

    def change(self, n_added: int) -> None:
        """Count bytes that are held from now on, or no more if negative."""
        self.n_bytes += n_added
        if self._account is not None:
            self._account.n_bytes += n_added

    def has_room(self, n_added: int = 0, *, factor: float = 1.0) -> bool:
        """Return whether the part and all parts together stay within their limits.

        Parameters
        ----------
        n_added : int, optional
            Bytes that are to be held beside those that are counted.
        factor : float, optional
            By which the limits are multiplied, for what is refused last.
        """
        if self.n_bytes + n_added > factor * self.limit_bytes:
            return False
        account = self._account
        if account is None:
            return True
        return account.n_bytes + n_added <= factor * account.limit_bytes

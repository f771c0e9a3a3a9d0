"""The platform's store without sockets, for tests of what reads and writes it."""

from __future__ import annotations

from damaskjunction.core import PlatformUnavailableError
from damaskjunction.platform import ObjectConflictError, PlatformObject


class FakeStore:
    """Objects by kind and name; ``is_away`` makes each call fail.

    ``on_write`` is called with each object before its writer gets the answer, as a
    watch of the store may be faster than that.
    """

    def __init__(self):
        self._objects_by_key = {}
        self._revision = 0
        self.is_away = False
        self.on_write = lambda stored: None

    async def get(self, kind, name):
        self._check()
        return self._objects_by_key.get((kind, name))

    async def create(self, kind, name, content):
        self._check_revision(kind, name, None)
        return self._put(kind, name, content, None)

    async def replace(self, kind, name, content, *, revision):
        known = self._check_revision(kind, name, revision)
        return self._put(kind, name, content, known.status)

    async def set_status(self, kind, name, status, *, revision):
        known = self._check_revision(kind, name, revision)
        return self._put(kind, name, known.content, status)

    def _check(self):
        if self.is_away:
            raise PlatformUnavailableError("away")

    def _check_revision(self, kind, name, revision):
        self._check()
        known = self._objects_by_key.get((kind, name))
        if (known.revision if known is not None else None) != revision:
            raise ObjectConflictError(f"{kind}/{name}", known)
        return known

    def _put(self, kind, name, content, status):
        self._revision += 1
        stored = PlatformObject(kind, name, self._revision, content, status)
        self._objects_by_key[kind, name] = stored
        self.on_write(stored)
        return stored

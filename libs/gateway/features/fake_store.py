"""The platform's store without sockets, for tests of what reads and writes it."""

from __future__ import annotations

import json
import math

from damaskjunction.core import PlatformUnavailableError, PlatformUnknownError
from damaskjunction.platform import ObjectConflictError, PlatformObject


class FakeStore:
    """Objects by kind and name.

    ``is_away`` makes each call fail, ``loses_answers`` the answer to each write.
    ``on_write`` is called with each object before its writer gets the answer, as a
    watch of the store may be faster than that. ``before_call`` is awaited in the next
    call.
    """

    def __init__(self):
        self._objects_by_key = {}
        self._revision = 0
        self.is_away = False
        self.loses_answers = False
        self.max_bytes = math.inf
        self.on_write = lambda stored: None
        self.before_call = None

    async def get(self, kind, name):
        await self._check()
        return self._objects_by_key.get((kind, name))

    async def create(self, kind, name, content):
        await self._check_revision(kind, name, None)
        return self._put(kind, name, content, None)

    async def replace(self, kind, name, content, *, revision):
        known = await self._check_revision(kind, name, revision)
        return self._put(kind, name, content, known.status)

    async def set_status(self, kind, name, status, *, revision):
        known = await self._check_revision(kind, name, revision)
        return self._put(kind, name, known.content, status)

    async def delete(self, kind, name):
        await self._check()
        self._objects_by_key.pop((kind, name), None)

    def find(self, kind, name):
        """Return an object, None if there is none, even while the store is away."""
        return self._objects_by_key.get((kind, name))

    def objects_of(self, kind):
        """Return all objects of a kind."""
        return tuple(o for key, o in self._objects_by_key.items() if key[0] == kind)

    @property
    def revision(self):
        """The revision of the last change."""
        return self._revision

    def put(self, kind, name, content):
        """Write an object that belongs to others than the hosts."""
        loses_answers, self.loses_answers = self.loses_answers, False
        self._put(kind, name, content, None)
        self.loses_answers = loses_answers

    def hide(self, kind, name):
        """Remove an object and return it."""
        return self._objects_by_key.pop((kind, name))

    def show(self, stored):
        """Put a hidden object back."""
        self._objects_by_key[stored.kind, stored.name] = stored

    async def _check(self):
        if self.before_call is not None:
            await self.before_call()
        if self.is_away:
            raise PlatformUnavailableError("away")

    async def _check_revision(self, kind, name, revision):
        await self._check()
        known = self._objects_by_key.get((kind, name))
        if (known.revision if known is not None else None) != revision:
            raise ObjectConflictError(f"{kind}/{name}", known)
        return known

    def _put(self, kind, name, content, status):
        if len(json.dumps(content)) > self.max_bytes:
            raise PlatformUnavailableError("too large")
        self._revision += 1
        stored = PlatformObject(kind, name, self._revision, content, status)
        self._objects_by_key[kind, name] = stored
        self.on_write(stored)
        if self.loses_answers:
            raise PlatformUnknownError("answer lost")
        return stored

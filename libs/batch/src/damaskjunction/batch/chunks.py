"""Chunks of a job: claimed under a lease, committed once.

A chunk's claim and outcome are one object, so that a claim, its renewal and the commit
are conditional updates of the same version: whoever lost the claim loses the commit.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from damaskjunction.batch.documents import ChunkDocument
from damaskjunction.batch.jobs import part_name
from damaskjunction.core import HostId, Revision

RENEW_FRACTION = 0.5


class ChunkState(StrEnum):
    """State of a chunk."""

    FREE = "free"
    CLAIMED = "claimed"
    DONE = "done"


class Chunk(NamedTuple):
    """A chunk as stored; one that is not stored is free at version 0.

    ``epoch`` counts the claims; ``parts`` names the results so far.
    """

    name: str
    version: Revision = 0
    state: ChunkState = ChunkState.FREE
    holder: HostId = ""
    epoch: int = 0
    parts: tuple[str, ...] = ()
    n_done: int = 0
    n_failed: int = 0


def to_chunk(name: str, version: Revision, document: ChunkDocument) -> Chunk:
    """Return the chunk that a stored document describes."""
    return Chunk(
        name,
        version,
        ChunkState(document["state"]),
        document["holder"],
        document["epoch"],
        tuple(document["parts"]),
        document["n_done"],
        document["n_failed"],
    )


def from_chunk(chunk: Chunk) -> ChunkDocument:
    """Return the document to store for a chunk."""
    return {
        "state": chunk.state.value,
        "holder": chunk.holder,
        "epoch": chunk.epoch,
        "parts": list(chunk.parts),
        "n_done": chunk.n_done,
        "n_failed": chunk.n_failed,
    }


class ChunkWrite(NamedTuple):
    """A conditional update of a chunk; ``sent_at_s`` is when it was first sent.

    An update without an answer is sent again as it is, with its operation id, until it
    is known whether it took effect.
    """

    chunk: Chunk
    expected_version: Revision
    operation_id: str
    sent_at_s: float


class ChunkClaim:
    """One host's claim of one chunk.

    The claim allows items to start only once it is stored and the job's record was
    read to be open after that, and for ``lease_s`` seconds since the claim, or its
    latest renewal, was first sent and the record was asked for.

    Parameters
    ----------
    chunk : Chunk
        The chunk as last read.
    holder : str
        The host that claims.
    lease_s : float
        Seconds that a claim holds.
    make_operation_id : callable
        Returns a new operation id.
    """

    def __init__(
        self,
        chunk: Chunk,
        holder: HostId,
        lease_s: float,
        make_operation_id: Callable[[], str],
    ) -> None:
        self.chunk = chunk
        self.is_lost = False
        self.is_stopped = False
        self._holder = holder
        self._lease_s = lease_s
        self._make_operation_id = make_operation_id
        self._held_until_s = float("-inf")
        self._stored_at_s = float("-inf")
        self.pending: ChunkWrite | None = None

    @property
    def part(self) -> str:
        """Name of the object for the results of this claim."""
        return part_name(self.chunk.name, self.chunk.epoch)

    def claim(self, now_s: float) -> ChunkWrite:
        """Return the write that claims the chunk."""
        chunk = self.chunk._replace(
            state=ChunkState.CLAIMED,
            holder=self._holder,
            epoch=self.chunk.epoch + 1,
        )
        return self._write(chunk, now_s)

    def renew(self, now_s: float) -> ChunkWrite:
        """Return the write that renews the claim."""
        return self._write(self.chunk, now_s)

    def release(self, n_done: int, n_failed: int, now_s: float) -> ChunkWrite:
        """Return the write that frees the chunk, keeping the results so far."""
        return self._write(self._with_part(n_done, n_failed, ChunkState.FREE), now_s)

    def commit(self, n_done: int, n_failed: int, now_s: float) -> ChunkWrite:
        """Return the write that ends the chunk with its results."""
        return self._write(self._with_part(n_done, n_failed, ChunkState.DONE), now_s)

    def written(self, write: ChunkWrite, version: Revision) -> None:
        """Take note that a write is stored."""
        self.pending = None
        self.chunk = write.chunk._replace(version=version)
        self._stored_at_s = write.sent_at_s

    def refused(self) -> None:
        """Take note that a write found the chunk at another version."""
        self.pending = None
        self.is_lost = True

    def confirm(self, is_open: bool, read_at_s: float) -> None:
        """Take note of the job's record, asked for at ``read_at_s``.

        The record counts for as long as a lease from then on: whoever marks the job
        as cancelled and waits so long knows that nothing of it starts any more.
        """
        if not is_open:
            self.is_stopped = True
        since_s = min(self._stored_at_s, read_at_s)
        self._held_until_s = since_s + self._lease_s

    def stop(self) -> None:
        """Start no further item."""
        self.is_stopped = True

    def may_start(self, now_s: float) -> bool:
        """Return whether an item may start now."""
        is_held = now_s < self._held_until_s
        return is_held and not (self.is_lost or self.is_stopped)

    def renewal_due_s(self) -> float:
        """Return when the claim should be renewed."""
        return self._stored_at_s + self._lease_s * RENEW_FRACTION

    def _with_part(self, n_done: int, n_failed: int, state: ChunkState) -> Chunk:
        chunk = self.chunk._replace(state=state, holder="")
        if not n_done + n_failed:
            return chunk
        return chunk._replace(
            parts=(*chunk.parts, self.part),
            n_done=chunk.n_done + n_done,
            n_failed=chunk.n_failed + n_failed,
        )

    def _write(self, chunk: Chunk, now_s: float) -> ChunkWrite:
        if self.pending is not None:
            raise RuntimeError(f"a write of {self.chunk.name!r} is not resolved yet")
        operation_id = self._make_operation_id()
        self.pending = ChunkWrite(chunk, self.chunk.version, operation_id, now_s)
        return self.pending


class LeaseWatch:
    """Tells which claims have lapsed, by this host's own clock.

    A claim has lapsed when its version was seen unchanged for ``lease_s`` seconds
    during which the platform answered; clocks of hosts are never compared.
    """

    def __init__(self) -> None:
        self._seen_by_name: dict[str, tuple[Revision, float]] = {}

    def observe(self, chunk: Chunk, now_s: float) -> None:
        """Take note of a chunk that was read."""
        seen = self._seen_by_name.get(chunk.name)
        if seen is None or seen[0] != chunk.version:
            self._seen_by_name[chunk.name] = (chunk.version, now_s)

    def forget(self, name: str) -> None:
        """Stop watching a chunk."""
        self._seen_by_name.pop(name, None)

    def restart(self) -> None:
        """Count every lease anew, since holders could not renew meanwhile."""
        self._seen_by_name.clear()

    def has_lapsed(self, chunk: Chunk, lease_s: float, now_s: float) -> bool:
        """Return whether the chunk's claim may be taken over."""
        seen = self._seen_by_name.get(chunk.name)
        if seen is None or seen[0] != chunk.version:
            return False
        return now_s - seen[1] > lease_s


def may_claim(chunk: Chunk, watch: LeaseWatch, lease_s: float, now_s: float) -> bool:
    """Return whether a chunk is free or its claim has lapsed."""
    if chunk.state is ChunkState.FREE:
        return True
    is_claimed = chunk.state is ChunkState.CLAIMED
    return is_claimed and watch.has_lapsed(chunk, lease_s, now_s)

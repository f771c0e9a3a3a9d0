"""Chunks of a job: claimed under a lease and committed once.

The claim and the outcome of a chunk are stored in one object. Claiming, renewing and
committing are therefore conditional updates of the same version, and a host that has
lost its claim cannot commit.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from damaskjunction.batch.documents import ChunkDocument
from damaskjunction.batch.jobs import part_name
from damaskjunction.core import HostId, Revision

# Fraction of the lease after which it is renewed; the rest is left for retries.
RENEW_FRACTION = 0.5


class ChunkState(StrEnum):
    """Processing state of a chunk."""

    FREE = "free"
    CLAIMED = "claimed"
    DONE = "done"


class Chunk(NamedTuple):
    """A stored chunk; a chunk without a stored object is free at version 0.

    ``epoch`` counts the claims and is part of the name of each claim's result object;
    ``parts`` lists the names of the result objects written so far. ``n_done`` counts
    the items with an output, ``n_failed`` those that ended with an error.
    """

    name: str
    version: Revision = 0
    state: ChunkState = ChunkState.FREE
    holder: HostId = ""
    epoch: int = 0
    parts: tuple[str, ...] = ()
    n_done: int = 0
    n_failed: int = 0


def chunk_from_document(name: str, version: Revision, document: ChunkDocument) -> Chunk:
    """Build a chunk from its stored document."""
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


def chunk_to_document(chunk: Chunk) -> ChunkDocument:
    """Build the document under which a chunk is stored."""
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

    An update whose response is lost is retried unchanged, with the same operation id,
    until it is known whether it took effect.
    """

    chunk: Chunk
    expected_version: Revision
    operation_id: str
    sent_at_s: float


class ChunkClaim:
    """One host's lease on one chunk.

    Items may start only after the claim is stored and a later read of the job record
    has shown the job to be open. Permission ends ``lease_s`` seconds after the earlier
    of two times: when the claim, or its latest renewal, was first sent, and when the
    job record was requested.

    Parameters
    ----------
    chunk : Chunk
        The chunk as last read.
    holder : str
        Id of the claiming host.
    lease_s : float
        Duration of the lease in seconds.
    make_operation_id : callable
        Generates a unique operation id for each write.

    Attributes
    ----------
    chunk : Chunk
        The chunk as last read or successfully written.
    is_lost : bool
        Whether a write failed with a version conflict.
    is_stopped : bool
        Whether further items are prevented from starting.
    pending : ChunkWrite or None
        The write whose outcome is not yet known. There is at most one.
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
        self._valid_until_s = float("-inf")
        self._lease_start_s = float("-inf")
        self.pending: ChunkWrite | None = None

    @property
    def part(self) -> str:
        """Name of the result object that this claim writes."""
        return part_name(self.chunk.name, self.chunk.epoch)

    def claim(self, now_s: float) -> ChunkWrite:
        """Return the conditional update that claims the chunk."""
        chunk = self.chunk._replace(
            state=ChunkState.CLAIMED,
            holder=self._holder,
            epoch=self.chunk.epoch + 1,
        )
        return self._write(chunk, now_s)

    def renew(self, now_s: float) -> ChunkWrite:
        """Return the conditional update that renews the lease."""
        return self._write(self.chunk, now_s)

    def release(self, n_done: int, n_failed: int, now_s: float) -> ChunkWrite:
        """Return the update that frees the chunk and keeps the results so far."""
        return self._write(self._with_part(n_done, n_failed, ChunkState.FREE), now_s)

    def commit(self, n_done: int, n_failed: int, now_s: float) -> ChunkWrite:
        """Return the update that marks the chunk done, with its results."""
        return self._write(self._with_part(n_done, n_failed, ChunkState.DONE), now_s)

    def record_success(self, write: ChunkWrite, version: Revision) -> None:
        """Record that a write succeeded and the chunk is now at ``version``."""
        self.pending = None
        self.chunk = write.chunk._replace(version=version)
        self._lease_start_s = write.sent_at_s

    def record_conflict(self) -> None:
        """Record that a write failed with a version conflict, so the claim is lost."""
        self.pending = None
        self.is_lost = True

    def record_job_state(self, is_open: bool, read_at_s: float) -> None:
        """Record whether the job was open in a read requested at ``read_at_s``.

        The read is valid for one lease duration from that time. Once a job has been
        marked as cancelled for a lease duration, none of its items can start.
        """
        if not is_open:
            self.is_stopped = True
        since_s = min(self._lease_start_s, read_at_s)
        self._valid_until_s = since_s + self._lease_s

    def stop(self) -> None:
        """Prevent further items from starting."""
        self.is_stopped = True

    def may_start(self, now_s: float) -> bool:
        """Return whether the lease permits an item to start at ``now_s``."""
        is_held = now_s < self._valid_until_s
        return is_held and not (self.is_lost or self.is_stopped)

    def renewal_due_s(self) -> float:
        """Return the time at which the lease should be renewed."""
        return self._lease_start_s + self._lease_s * RENEW_FRACTION

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
            raise RuntimeError(f"a write of chunk {self.chunk.name!r} is still pending")
        operation_id = self._make_operation_id()
        self.pending = ChunkWrite(chunk, self.chunk.version, operation_id, now_s)
        return self.pending


class LeaseTracker:
    """Detects expired claims of other hosts by the local clock.

    A claim has expired when its version has been observed unchanged for ``lease_s``
    seconds during which the platform responded. Clocks of different hosts are never
    compared.
    """

    def __init__(self) -> None:
        self._observed_by_name: dict[str, tuple[Revision, float]] = {}

    def observe(self, chunk: Chunk, now_s: float) -> None:
        """Record the version of a chunk that was read at ``now_s``."""
        observed = self._observed_by_name.get(chunk.name)
        if observed is None or observed[0] != chunk.version:
            self._observed_by_name[chunk.name] = (chunk.version, now_s)

    def forget(self, name: str) -> None:
        """Stop tracking a chunk."""
        self._observed_by_name.pop(name, None)

    def reset(self) -> None:
        """Restart the timing of all leases, after an outage that prevented renewals."""
        self._observed_by_name.clear()

    def has_expired(self, chunk: Chunk, lease_s: float, now_s: float) -> bool:
        """Return whether the claim has expired and the chunk may be taken over."""
        observed = self._observed_by_name.get(chunk.name)
        if observed is None or observed[0] != chunk.version:
            return False
        return now_s - observed[1] > lease_s


def may_claim(
    chunk: Chunk, tracker: LeaseTracker, lease_s: float, now_s: float
) -> bool:
    """Return whether a chunk is free or its claim has expired."""
    if chunk.state is ChunkState.FREE:
        return True
    is_claimed = chunk.state is ChunkState.CLAIMED
    return is_claimed and tracker.has_expired(chunk, lease_s, now_s)

"""Messages that forward the change feed and job results between hosts."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import JobId, Revision
from damaskjunction.wire.codec import register_message


@register_message
class KindSeen(NamedTuple):
    """The revision of the store up to which a host knows the objects of a kind."""

    kind: str
    revision: Revision


@register_message
class NewsAsk(NamedTuple):
    """Asks a host to forward the store's change feed until the call ends."""

    seen: tuple[KindSeen, ...]


@register_message
class KindNews(NamedTuple):
    """Changed objects of a kind, or all of them if ``is_whole``.

    ``entries`` is a JSON list of objects. ``failed_ago_s`` is the time in seconds
    since the end of the last outage of the store that the sender knows of, -1 if none.
    """

    kind: str
    revision: Revision
    is_whole: bool
    failed_ago_s: float
    entries: bytes


@register_message
class NoNews(NamedTuple):
    """Nothing has changed and the store has responded recently."""


@register_message
class ResultsAsk(NamedTuple):
    """Asks the host that runs a job for its results from position ``after`` on.

    The reply comes as soon as there is a result, at the latest after ``wait_s``
    seconds.
    """

    job_id: JobId
    after: int
    wait_s: float


@register_message
class ResultsHeard(NamedTuple):
    """Results stored for a job, by position; ``entries`` is a JSON list."""

    entries: bytes

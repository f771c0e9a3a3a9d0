"""What a resend of a call with an idempotency key is told."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from damaskjunction.core import HostId, Outcome, RequestError, RequestId
from damaskjunction.routing.messages import PlainAnswer


class ClaimState(StrEnum):
    """What is known of a claimed call.

    ``CLAIMED``: its holder runs it, or is gone. ``ANSWERED``: it ran and this is its
    answer. ``FREE``: it did not run, and whoever updates the claim may run it.
    ``FAILED``: there is no answer and it must not run again.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    FREE = "free"
    FAILED = "failed"


class Claim(NamedTuple):
    """A call claimed under an idempotency key.

    ``digest`` is that of the call's path and body; ``outcome`` counts when it has
    failed; ``answer`` is None when it is not kept.
    """

    state: ClaimState
    digest: str
    holder: HostId
    request_id: RequestId
    claimed_at_s: float
    outcome: Outcome = Outcome.UNKNOWN
    answer: PlainAnswer | None = None


class TakeOver(NamedTuple):
    """Claim the call by a conditional update, then run it."""


class LookAgain(NamedTuple):
    """Read the claim again shortly: its holder may be running the call."""


class Replay(NamedTuple):
    """Pass on the answer of the earlier run."""

    answer: PlainAnswer


class Tell(NamedTuple):
    """Tell the caller that there is no answer."""

    error: RequestError


class RefuseKey(NamedTuple):
    """The key was used for another call."""


ClaimEffect: TypeAlias = TakeOver | LookAgain | Replay | Tell | RefuseKey


def judge_claim(claim: Claim, digest: str, *, may_wait: bool) -> ClaimEffect:
    """Return what to do with a resend that found ``claim`` under its key.

    Parameters
    ----------
    claim : Claim
        What is stored.
    digest : str
        Digest of the resend's path and body.
    may_wait : bool
        Whether the resend may wait for a run in progress.
    """
    if claim.digest != digest:
        return RefuseKey()
    if claim.state is ClaimState.FREE:
        return TakeOver()
    if claim.state is ClaimState.CLAIMED and may_wait:
        return LookAgain()
    if claim.answer is not None:
        return Replay(claim.answer)
    return Tell(_error_of(claim))


def _error_of(claim: Claim) -> RequestError:
    if claim.state is ClaimState.CLAIMED:
        detail = "an earlier call under this key runs, or its host is gone"
        return RequestError(Outcome.UNKNOWN, "in_progress", detail, retry_after_s=1.0)
    if claim.state is ClaimState.ANSWERED:
        detail = "the call ran; its answer was too large to keep"
        return RequestError(Outcome.RAN, "answer_not_kept", detail)
    detail = "an earlier call under this key ended without an answer"
    return RequestError(claim.outcome, "earlier_call_failed", detail)

"""Resolution of repeated calls with the same idempotency key."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from damaskjunction.core import HostId, Outcome, RequestError, RequestId
from damaskjunction.routing.messages import PlainAnswer


class ClaimState(StrEnum):
    """State of a claimed call.

    ``CLAIMED``: the host that holds the claim is running the call, or is gone.
    ``ANSWERED``: it ran and was answered. ``FREE``: it did not run, and the host that
    updates the claim may run it. ``FAILED``: it has no answer and must not run again.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    FREE = "free"
    FAILED = "failed"


class Claim(NamedTuple):
    """A call claimed under an idempotency key.

    ``digest`` is the hash of the call's path and body. ``holder`` is the host that
    made the claim, ``claimed_at_s`` the Unix time of that. ``outcome`` is used only in
    state ``FAILED``. ``answer`` is None when there is none or it was too large to keep.
    """

    state: ClaimState
    digest: str
    holder: HostId
    request_id: RequestId
    claimed_at_s: float
    outcome: Outcome = Outcome.UNKNOWN
    answer: PlainAnswer | None = None


class TakeOverClaim(NamedTuple):
    """Effect: claim the call by a conditional update, then run it."""


class RecheckClaim(NamedTuple):
    """Effect: read the claim again shortly, as its holder may be running the call."""


class ReplayAnswer(NamedTuple):
    """Effect: return the stored answer of the earlier run."""

    answer: PlainAnswer


class FailCall(NamedTuple):
    """Effect: fail the call with ``error``, since there is no stored answer."""

    error: RequestError


class RejectKeyReuse(NamedTuple):
    """Effect: reject the call, since its key was used for a different call."""


ClaimEffect: TypeAlias = (
    TakeOverClaim | RecheckClaim | ReplayAnswer | FailCall | RejectKeyReuse
)


def resolve_claim(claim: Claim, digest: str, *, may_wait: bool) -> ClaimEffect:
    """Return how to handle a repeated call that found ``claim`` under its key.

    Parameters
    ----------
    claim : Claim
        The stored claim.
    digest : str
        Hash of the path and body of the repeated call.
    may_wait : bool
        Whether the repeated call may still wait for a run in progress.
    """
    if claim.digest != digest:
        return RejectKeyReuse()
    if claim.state is ClaimState.FREE:
        return TakeOverClaim()
    if claim.state is ClaimState.CLAIMED and may_wait:
        return RecheckClaim()
    if claim.answer is not None:
        return ReplayAnswer(claim.answer)
    return FailCall(_error_of(claim))


def _error_of(claim: Claim) -> RequestError:
    if claim.state is ClaimState.CLAIMED:
        detail = "an earlier call with this key is running, or its host is gone"
        return RequestError(Outcome.UNKNOWN, "in_progress", detail, retry_after_s=1.0)
    if claim.state is ClaimState.ANSWERED:
        detail = "the call ran, but its answer was too large to store"
        return RequestError(Outcome.RAN, "answer_not_kept", detail)
    detail = "an earlier call with this key ended without an answer"
    return RequestError(claim.outcome, "earlier_call_failed", detail)

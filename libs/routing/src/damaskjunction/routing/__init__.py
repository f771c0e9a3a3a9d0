"""Decisions on admission, runner choice, limits and retries."""

from damaskjunction.routing.admission import (
    Admit,
    Effect,
    Preempt,
    Refuse,
    RunnerGate,
    Ticket,
)
from damaskjunction.routing.answers import AnswerAssembly, AnswerMessage
from damaskjunction.routing.choice import ChoiceInput, runner_choices
from damaskjunction.routing.ejection import EjectionPolicy, OutlierEjection
from damaskjunction.routing.homes import home_of
from damaskjunction.routing.idempotency import (
    Claim,
    ClaimEffect,
    ClaimState,
    LookAgain,
    RefuseKey,
    Replay,
    TakeOver,
    Tell,
    judge_claim,
)
from damaskjunction.routing.messages import Forward, PlainAnswer, StreamEnd, Token
from damaskjunction.routing.quarantine import (
    Enter,
    Quarantine,
    SoloGate,
    Verdict,
    VerdictNews,
    fingerprint_of,
)
from damaskjunction.routing.retries import (
    Attempts,
    GiveUp,
    Retry,
    RetryBudget,
    RetryEffect,
    worst_outcome,
)

__all__ = [
    "Admit",
    "AnswerAssembly",
    "AnswerMessage",
    "Attempts",
    "ChoiceInput",
    "Claim",
    "ClaimEffect",
    "ClaimState",
    "Effect",
    "EjectionPolicy",
    "Enter",
    "Forward",
    "GiveUp",
    "LookAgain",
    "OutlierEjection",
    "PlainAnswer",
    "Preempt",
    "Quarantine",
    "Refuse",
    "RefuseKey",
    "Replay",
    "Retry",
    "RetryBudget",
    "RetryEffect",
    "RunnerGate",
    "SoloGate",
    "StreamEnd",
    "TakeOver",
    "Tell",
    "Ticket",
    "Token",
    "Verdict",
    "VerdictNews",
    "fingerprint_of",
    "home_of",
    "judge_claim",
    "runner_choices",
    "worst_outcome",
]

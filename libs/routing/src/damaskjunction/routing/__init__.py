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
    "Effect",
    "EjectionPolicy",
    "Enter",
    "Forward",
    "GiveUp",
    "OutlierEjection",
    "PlainAnswer",
    "Preempt",
    "Quarantine",
    "Refuse",
    "Retry",
    "RetryBudget",
    "RetryEffect",
    "RunnerGate",
    "SoloGate",
    "StreamEnd",
    "Ticket",
    "Token",
    "Verdict",
    "VerdictNews",
    "fingerprint_of",
    "home_of",
    "runner_choices",
    "worst_outcome",
]

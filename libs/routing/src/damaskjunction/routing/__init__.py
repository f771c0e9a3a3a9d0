"""Decisions on admission, runner choice, limits and retries."""

from damaskjunction.routing.admission import (
    Admit,
    Effect,
    Preempt,
    Refuse,
    RunnerGate,
    Ticket,
)
from damaskjunction.routing.choice import ChoiceInput, runner_choices
from damaskjunction.routing.homes import home_of
from damaskjunction.routing.messages import Forward, PlainAnswer, StreamEnd, Token

__all__ = [
    "Admit",
    "ChoiceInput",
    "Effect",
    "Forward",
    "PlainAnswer",
    "Preempt",
    "Refuse",
    "RunnerGate",
    "StreamEnd",
    "Ticket",
    "Token",
    "home_of",
    "runner_choices",
]

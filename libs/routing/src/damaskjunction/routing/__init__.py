"""Decisions on admission, runner choice, limits and retries."""

from damaskjunction.routing.admission import (
    Admit,
    Effect,
    GateState,
    Preempt,
    Refuse,
    RunnerGate,
)
from damaskjunction.routing.choice import ChoiceInput, runner_choices
from damaskjunction.routing.homes import home_of
from damaskjunction.routing.limits import (
    FixedLimits,
    LearnedLimits,
    Limits,
    Targets,
)
from damaskjunction.routing.loads import RunnerLoads
from damaskjunction.routing.messages import (
    Forward,
    PlainAnswer,
    RunnerLoad,
    StreamEnd,
    Token,
)
from damaskjunction.routing.policies import (
    AdmissionPolicy,
    LimitInput,
    admission_policies,
)
from damaskjunction.routing.queues import FairQueue, Ticket

__all__ = [
    "AdmissionPolicy",
    "Admit",
    "ChoiceInput",
    "Effect",
    "FairQueue",
    "FixedLimits",
    "Forward",
    "GateState",
    "LearnedLimits",
    "LimitInput",
    "Limits",
    "PlainAnswer",
    "Preempt",
    "Refuse",
    "RunnerGate",
    "RunnerLoad",
    "RunnerLoads",
    "StreamEnd",
    "Targets",
    "Ticket",
    "Token",
    "admission_policies",
    "home_of",
    "runner_choices",
]

"""Admission, runner selection, concurrency limits, retries and answer assembly."""

from damaskjunction.routing.admission.admission import (
    AdmissionController,
    AdmissionEffect,
    AdmissionState,
    Admit,
    Preempt,
    Refuse,
)
from damaskjunction.routing.admission.limits import (
    AdaptiveLimits,
    ConcurrencyLimits,
    FixedLimits,
    LatencyTargets,
)
from damaskjunction.routing.admission.policies import (
    AdmissionPolicy,
    LimitInput,
    admission_policies,
)
from damaskjunction.routing.admission.queues import (
    AdmissionTicket,
    FairQueue,
)
from damaskjunction.routing.answers import (
    AnswerAssembly,
    AnswerPart,
)
from damaskjunction.routing.crashes.crash_evidence import (
    CrashEvidence,
    CrashReport,
    RequestTraits,
)
from damaskjunction.routing.crashes.crash_policies import (
    EXCLUSIVE_RUNS,
    SHARED_RUNS,
    CrashPolicy,
    Suspect,
    suspect_rules,
)
from damaskjunction.routing.crashes.exclusive_access import (
    GrantAccess,
    SharedExclusiveLock,
)
from damaskjunction.routing.crashes.fingerprints import fingerprint_of
from damaskjunction.routing.crashes.quarantine import (
    Quarantine,
    Verdict,
    VerdictNews,
)
from damaskjunction.routing.idempotency import (
    Claim,
    ClaimEffect,
    ClaimState,
    FailCall,
    RecheckClaim,
    RejectKeyReuse,
    ReplayAnswer,
    TakeOverClaim,
    resolve_claim,
)
from damaskjunction.routing.messages import (
    Forward,
    PlainAnswer,
    RunnerLoad,
    RunnerSilent,
    StreamEnd,
    Token,
)
from damaskjunction.routing.retries import (
    Attempts,
    GiveUp,
    Retry,
    RetryBudget,
    RetryEffect,
    worst_outcome,
)
from damaskjunction.routing.routes import (
    BackendSpec,
    CallerLimits,
    EngineSpec,
    Route,
    RouteKind,
    RouteTable,
    WeightedService,
    make_route_table,
)
from damaskjunction.routing.runners.caller_hosts import hosts_for_caller
from damaskjunction.routing.runners.choice import (
    ChoiceInput,
    runner_choices,
)
from damaskjunction.routing.runners.ejection import (
    EjectionPolicy,
    OutlierEjection,
)
from damaskjunction.routing.runners.homes import (
    home_of,
    slot_homes,
)
from damaskjunction.routing.runners.leaving_runners import (
    DEFAULT_DRAIN_S,
    DEFAULT_MAX_SKEW_S,
    LeavingNotice,
    LeavingRunners,
)
from damaskjunction.routing.runners.loads import (
    RunnerLoads,
)
from damaskjunction.routing.runners.plain_runners import PlainRunners
from damaskjunction.routing.runners.runner_entries import (
    FormerEntries,
    SupersededProcesses,
)
from damaskjunction.routing.runners.runner_paths import (
    DIRECT_HEAD_START_S,
    DIRECT_RETRY_S,
    MAX_WITNESSES,
    PathPlan,
    Reach,
    RunnerPaths,
    RunnerVerdict,
    judge_runner,
    trusted_reach,
)
from damaskjunction.routing.runners.runner_scores import runner_scores
from damaskjunction.routing.slots.rate_limits import (
    NO_LIMIT_PER_S,
    LimitObservations,
    RateLimiter,
    RunnerLimit,
)
from damaskjunction.routing.slots.slot_types import (
    CAPACITY_REASONS,
    NO_RUNNER_LEFT,
    GrantSlot,
    RefuseSlot,
    RevokeSlot,
    SlotCounts,
    SlotEffect,
    SlotTicket,
)
from damaskjunction.routing.slots.slots import SlotPool
from damaskjunction.routing.slots.wait_forecast import RunnerSupply, WaitForecast
from damaskjunction.routing.stop_schedule import StopSchedule
from damaskjunction.routing.versions.stream_continuation import (
    Denial,
    ItemWait,
    StreamFacts,
    StreamWriter,
    are_writers_proved,
    item_denial,
    origin_of,
    proven_version,
    required_version,
    runner_denial,
    take_up_denial,
)
from damaskjunction.routing.versions.stream_groups import (
    GroupWrite,
    StoredGroup,
    StreamGroups,
    stored_origins,
)
from damaskjunction.routing.versions.stream_versions import (
    OriginMemory,
    RunnerVersions,
    StreamOrigin,
    listed_versions,
    runners_at,
)
from damaskjunction.routing.versions.version_ledger import (
    ClosedVersion,
    VersionLedger,
    VersionRecord,
    stream_lives,
    unknown_record,
)
from damaskjunction.routing.workspaces.callers import (
    Caller,
    KeyDenial,
    has_public_jobs,
    identify_caller,
    prioritize,
)
from damaskjunction.routing.workspaces.counter_choice import (
    ASK_LIMIT_S,
    CounterChoice,
)
from damaskjunction.routing.workspaces.fleet_share import FleetShare
from damaskjunction.routing.workspaces.keys import (
    WorkspaceKeys,
    bearer_key,
    digest_of_key,
)
from damaskjunction.routing.workspaces.permits import (
    GRANTED,
    OVER_LIMIT,
    UNCERTAIN_LIMIT,
    AskStep,
    CounterPlace,
    PermitAsk,
    PermitReply,
    next_step,
    passed_ask,
)
from damaskjunction.routing.workspaces.quotas import (
    Quota,
    QuotaBounds,
    quota_of,
)
from damaskjunction.routing.workspaces.request_counter import RequestCounter
from damaskjunction.routing.workspaces.uncounted_requests import UncountedRequests

__all__ = [
    "ASK_LIMIT_S",
    "CAPACITY_REASONS",
    "DEFAULT_DRAIN_S",
    "DEFAULT_MAX_SKEW_S",
    "DIRECT_HEAD_START_S",
    "DIRECT_RETRY_S",
    "EXCLUSIVE_RUNS",
    "GRANTED",
    "MAX_WITNESSES",
    "NO_LIMIT_PER_S",
    "NO_RUNNER_LEFT",
    "OVER_LIMIT",
    "SHARED_RUNS",
    "UNCERTAIN_LIMIT",
    "AdaptiveLimits",
    "AdmissionController",
    "AdmissionEffect",
    "AdmissionPolicy",
    "AdmissionState",
    "AdmissionTicket",
    "Admit",
    "AnswerAssembly",
    "AnswerPart",
    "AskStep",
    "Attempts",
    "BackendSpec",
    "Caller",
    "CallerLimits",
    "ChoiceInput",
    "Claim",
    "ClaimEffect",
    "ClaimState",
    "ClosedVersion",
    "ConcurrencyLimits",
    "CounterChoice",
    "CounterPlace",
    "CrashEvidence",
    "CrashPolicy",
    "CrashReport",
    "Denial",
    "EjectionPolicy",
    "EngineSpec",
    "FailCall",
    "FairQueue",
    "FixedLimits",
    "FleetShare",
    "FormerEntries",
    "Forward",
    "GiveUp",
    "GrantAccess",
    "GrantSlot",
    "GroupWrite",
    "ItemWait",
    "KeyDenial",
    "LatencyTargets",
    "LeavingNotice",
    "LeavingRunners",
    "LimitInput",
    "LimitObservations",
    "OriginMemory",
    "OutlierEjection",
    "PathPlan",
    "PermitAsk",
    "PermitReply",
    "PlainAnswer",
    "PlainRunners",
    "Preempt",
    "Quarantine",
    "Quota",
    "QuotaBounds",
    "RateLimiter",
    "Reach",
    "RecheckClaim",
    "Refuse",
    "RefuseSlot",
    "RejectKeyReuse",
    "ReplayAnswer",
    "RequestCounter",
    "RequestTraits",
    "Retry",
    "RetryBudget",
    "RetryEffect",
    "RevokeSlot",
    "Route",
    "RouteKind",
    "RouteTable",
    "RunnerLimit",
    "RunnerLoad",
    "RunnerLoads",
    "RunnerPaths",
    "RunnerSilent",
    "RunnerSupply",
    "RunnerVerdict",
    "RunnerVersions",
    "SharedExclusiveLock",
    "SlotCounts",
    "SlotEffect",
    "SlotPool",
    "SlotTicket",
    "StopSchedule",
    "StoredGroup",
    "StreamEnd",
    "StreamFacts",
    "StreamGroups",
    "StreamOrigin",
    "StreamWriter",
    "SupersededProcesses",
    "Suspect",
    "TakeOverClaim",
    "Token",
    "UncountedRequests",
    "Verdict",
    "VerdictNews",
    "VersionLedger",
    "VersionRecord",
    "WaitForecast",
    "WeightedService",
    "WorkspaceKeys",
    "admission_policies",
    "are_writers_proved",
    "bearer_key",
    "digest_of_key",
    "fingerprint_of",
    "has_public_jobs",
    "home_of",
    "hosts_for_caller",
    "identify_caller",
    "item_denial",
    "judge_runner",
    "listed_versions",
    "make_route_table",
    "next_step",
    "origin_of",
    "passed_ask",
    "prioritize",
    "proven_version",
    "quota_of",
    "required_version",
    "resolve_claim",
    "runner_choices",
    "runner_denial",
    "runner_scores",
    "runners_at",
    "slot_homes",
    "stored_origins",
    "stream_lives",
    "suspect_rules",
    "take_up_denial",
    "trusted_reach",
    "unknown_record",
    "worst_outcome",
]

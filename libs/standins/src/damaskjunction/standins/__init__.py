"""Test doubles (stand-ins) of the platform, its runners and the network.

They speak the real protocols, inject faults on request, and run either in the caller's
process or as a fleet of processes on loopback. There is a set for each of the two host
daemons: ``PlatformStandin``, ``EngineStandin`` and ``PlainStandin`` for the hosts of
``damaskjunction.node``, ``StoreStandin`` and ``RunnerStandin`` for those of
``damaskjunction.gateway``.
"""

from damaskjunction.standins.broken_streams import BROKEN_AFTER, wrong_take_ups
from damaskjunction.standins.cut_paths import Cut
from damaskjunction.standins.deployed_fleet import DeployedFleet
from damaskjunction.standins.deployment import (
    CALLER_KEY,
    Deployment,
    RunnerGroup,
    deployed_names,
    deployments,
)
from damaskjunction.standins.engine import (
    BROKEN_VERSION,
    CRASH_MARK,
    EngineSpeed,
    EngineStandin,
    token_text,
)
from damaskjunction.standins.fleet import (
    BufferedResponse,
    CommandResult,
    Fleet,
    ProcessSpec,
    parse_events,
    run_command,
)
from damaskjunction.standins.kept_connections import encode_refusal
from damaskjunction.standins.plain import PlainStandin
from damaskjunction.standins.platform import PlatformStandin
from damaskjunction.standins.platform_documents import (
    BATCH_ROUTE,
    LONG_TIMEOUT,
    ONCE_ROUTE,
    READINESS_PATH,
    RESUMABLE_ROUTE,
    RETRYABLE_ROUTE,
    SHORT_IDLE_TIME,
    caller_headers,
    job_path,
    key_headers,
    make_configuration,
    make_job,
    make_prompt_header,
    make_results_request,
    make_resume_headers,
    make_route,
    make_settings_text,
    make_workspace,
    read_results,
)
from damaskjunction.standins.ports import allocate_addresses
from damaskjunction.standins.proxy import Mode, ProxyStandin
from damaskjunction.standins.raw_runner import RawRequest, RawRunnerStandin
from damaskjunction.standins.runner import RUNNERS_KIND, RunnerStandin
from damaskjunction.standins.standstill import Standstill
from damaskjunction.standins.store import StoreStandin

__all__ = [
    "BATCH_ROUTE",
    "BROKEN_AFTER",
    "BROKEN_VERSION",
    "CALLER_KEY",
    "CRASH_MARK",
    "LONG_TIMEOUT",
    "ONCE_ROUTE",
    "READINESS_PATH",
    "RESUMABLE_ROUTE",
    "RETRYABLE_ROUTE",
    "RUNNERS_KIND",
    "SHORT_IDLE_TIME",
    "BufferedResponse",
    "CommandResult",
    "Cut",
    "DeployedFleet",
    "Deployment",
    "EngineSpeed",
    "EngineStandin",
    "Fleet",
    "Mode",
    "PlainStandin",
    "PlatformStandin",
    "ProcessSpec",
    "ProxyStandin",
    "RawRequest",
    "RawRunnerStandin",
    "RunnerGroup",
    "RunnerStandin",
    "Standstill",
    "StoreStandin",
    "allocate_addresses",
    "caller_headers",
    "deployed_names",
    "deployments",
    "encode_refusal",
    "job_path",
    "key_headers",
    "make_configuration",
    "make_job",
    "make_prompt_header",
    "make_results_request",
    "make_resume_headers",
    "make_route",
    "make_settings_text",
    "make_workspace",
    "parse_events",
    "read_results",
    "run_command",
    "token_text",
    "wrong_take_ups",
]

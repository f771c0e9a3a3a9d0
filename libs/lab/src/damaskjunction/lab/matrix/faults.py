"""Faults of the matrix: how each is injected and how it is reverted."""

from __future__ import annotations

from collections.abc import Mapping

from damaskjunction.lab.matrix.cell import Action, CellContext, Fault, faults
from damaskjunction.standins import Mode

PLATFORM_DELAY_S = 0.8
N_LOST_RESPONSES = 2
SLOW_FACTOR = 5


async def _set_faults(
    context: CellContext, name: str, values: Mapping[str, float]
) -> None:
    await context.fleet.call(name, "PUT", "/test/faults", document=dict(values))


async def _no_op(context: CellContext) -> None:
    """Inject no fault, or revert one that ends by itself."""


async def _kill_host(context: CellContext) -> None:
    await context.fleet.kill(context.victim)


async def _restart_host(context: CellContext) -> None:
    if not context.fleet.is_running(context.victim):
        await context.fleet.restart(context.victim)


async def _freeze_host(context: CellContext) -> None:
    context.fleet.freeze(context.victim)


async def _resume_host(context: CellContext) -> None:
    context.fleet.resume(context.victim)


async def _kill_runner(context: CellContext) -> None:
    await context.fleet.kill(context.runner)


async def _restart_runner(context: CellContext) -> None:
    if not context.fleet.is_running(context.runner):
        await context.fleet.restart(context.runner)


async def _freeze_runner(context: CellContext) -> None:
    context.fleet.freeze(context.runner)


async def _resume_runner(context: CellContext) -> None:
    context.fleet.resume(context.runner)


async def _cut_streams(context: CellContext) -> None:
    await _set_faults(context, context.runner, {"cut_streams": 3})


async def _slow_runner(context: CellContext) -> None:
    await _set_faults(context, context.runner, {"slow_factor": SLOW_FACTOR})


async def _restore_runner_speed(context: CellContext) -> None:
    await _set_faults(context, context.runner, {"slow_factor": 0})


async def _make_platform_unavailable(context: CellContext) -> None:
    await _set_faults(context, "platform", {"down": 1})


async def _make_platform_available(context: CellContext) -> None:
    await _set_faults(context, "platform", {"down": 0})


async def _slow_platform(context: CellContext) -> None:
    await _set_faults(context, "platform", {"slow_s": PLATFORM_DELAY_S})


async def _restore_platform_speed(context: CellContext) -> None:
    await _set_faults(context, "platform", {"slow_s": 0})


async def _lose_responses(context: CellContext) -> None:
    await _set_faults(context, "platform", {"lose_answers": N_LOST_RESPONSES})


def _set_proxy_mode(is_runner: bool, mode: Mode) -> Action:
    """Return an action that sets the mode of a proxy.

    It is the proxy of the runner's address or of the victim's peer address.
    """

    async def apply(context: CellContext) -> None:
        name = context.runner if is_runner else context.victim
        await context.deployed.set_mode(name, mode)

    return apply


def _proxy_fault(is_runner: bool, mode: Mode) -> Fault:
    inject = _set_proxy_mode(is_runner, mode)
    return Fault(inject, _set_proxy_mode(is_runner, Mode.PASS), needs_proxies=True)


faults.register("none")(Fault(_no_op, _no_op))
faults.register("host_kill")(Fault(_kill_host, _restart_host, stops_process=True))
faults.register("host_freeze")(Fault(_freeze_host, _resume_host, stops_process=True))
faults.register("runner_kill")(Fault(_kill_runner, _restart_runner, stops_process=True))
faults.register("runner_freeze")(
    Fault(_freeze_runner, _resume_runner, stops_process=True)
)
faults.register("runner_slow")(Fault(_slow_runner, _restore_runner_speed))
faults.register("stream_cut")(Fault(_cut_streams, _no_op))
faults.register("platform_down")(
    Fault(_make_platform_unavailable, _make_platform_available)
)
faults.register("platform_slow")(Fault(_slow_platform, _restore_platform_speed))
faults.register("lost_answer")(Fault(_lose_responses, _no_op))
faults.register("runner_path_silent")(_proxy_fault(True, Mode.SILENT))
faults.register("runner_connections_silent")(_proxy_fault(True, Mode.SILENT_OLD))
faults.register("peer_path_silent")(_proxy_fault(False, Mode.SILENT))
faults.register("peer_connections_silent")(_proxy_fault(False, Mode.SILENT_OLD))
faults.register("peer_cut_forward")(_proxy_fault(False, Mode.CUT_FORWARD))
faults.register("peer_cut_back")(_proxy_fault(False, Mode.CUT_BACK))

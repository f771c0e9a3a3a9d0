"""Faults of the matrix, each with its beginning and its end."""

from __future__ import annotations

from collections.abc import Mapping

from damaskjunction.lab.matrix.situation import Act, Fault, Situation, faults
from damaskjunction.standins import Mode

SLOW_S = 0.8
LOST_ANSWERS = 2
SLOW_STEPS = 5


async def _set_faults(
    situation: Situation, name: str, values: Mapping[str, float]
) -> None:
    await situation.fleet.call(name, "PUT", "/test/faults", document=dict(values))


async def _do_nothing(situation: Situation) -> None:
    """End of a fault that is over by itself."""


async def _kill_host(situation: Situation) -> None:
    await situation.fleet.kill(situation.victim)


async def _restart_host(situation: Situation) -> None:
    if not situation.fleet.is_running(situation.victim):
        await situation.fleet.restart(situation.victim)


async def _freeze_host(situation: Situation) -> None:
    situation.fleet.freeze(situation.victim)


async def _thaw_host(situation: Situation) -> None:
    situation.fleet.resume(situation.victim)


async def _kill_runner(situation: Situation) -> None:
    await situation.fleet.kill(situation.runner)


async def _restart_runner(situation: Situation) -> None:
    if not situation.fleet.is_running(situation.runner):
        await situation.fleet.restart(situation.runner)


async def _freeze_runner(situation: Situation) -> None:
    situation.fleet.freeze(situation.runner)


async def _thaw_runner(situation: Situation) -> None:
    situation.fleet.resume(situation.runner)


async def _cut_streams(situation: Situation) -> None:
    await _set_faults(situation, situation.runner, {"cut_streams": 3})


async def _slow_runner(situation: Situation) -> None:
    await _set_faults(situation, situation.runner, {"slow_factor": SLOW_STEPS})


async def _speed_runner(situation: Situation) -> None:
    await _set_faults(situation, situation.runner, {"slow_factor": 0})


async def _platform_down(situation: Situation) -> None:
    await _set_faults(situation, "platform", {"down": 1})


async def _platform_up(situation: Situation) -> None:
    await _set_faults(situation, "platform", {"down": 0})


async def _platform_slow(situation: Situation) -> None:
    await _set_faults(situation, "platform", {"slow_s": SLOW_S})


async def _platform_fast(situation: Situation) -> None:
    await _set_faults(situation, "platform", {"slow_s": 0})


async def _lose_answers(situation: Situation) -> None:
    await _set_faults(situation, "platform", {"lose_answers": LOST_ANSWERS})


def _set_path(of_runner: bool, mode: Mode) -> Act:
    """Return what sets the path to the runner or to the victim's peer address."""

    async def act(situation: Situation) -> None:
        name = situation.runner if of_runner else situation.victim
        await situation.deployed.set_mode(name, mode)

    return act


def _path_fault(of_runner: bool, mode: Mode) -> Fault:
    inject = _set_path(of_runner, mode)
    return Fault(inject, _set_path(of_runner, Mode.PASS), needs_proxies=True)


faults.register("none")(Fault(_do_nothing, _do_nothing))
faults.register("host_kill")(Fault(_kill_host, _restart_host, stops_process=True))
faults.register("host_freeze")(Fault(_freeze_host, _thaw_host, stops_process=True))
faults.register("runner_kill")(Fault(_kill_runner, _restart_runner, stops_process=True))
faults.register("runner_freeze")(
    Fault(_freeze_runner, _thaw_runner, stops_process=True)
)
faults.register("runner_slow")(Fault(_slow_runner, _speed_runner))
faults.register("stream_cut")(Fault(_cut_streams, _do_nothing))
faults.register("platform_down")(Fault(_platform_down, _platform_up))
faults.register("platform_slow")(Fault(_platform_slow, _platform_fast))
faults.register("lost_answer")(Fault(_lose_answers, _do_nothing))
faults.register("runner_path_silent")(_path_fault(True, Mode.SILENT))
faults.register("runner_connections_silent")(_path_fault(True, Mode.SILENT_OLD))
faults.register("peer_path_silent")(_path_fault(False, Mode.SILENT))
faults.register("peer_connections_silent")(_path_fault(False, Mode.SILENT_OLD))
faults.register("peer_cut_forward")(_path_fault(False, Mode.CUT_FORWARD))
faults.register("peer_cut_back")(_path_fault(False, Mode.CUT_BACK))

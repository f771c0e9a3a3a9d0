"""Experiment on operators who edit the configuration concurrently."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import NamedTuple

import yaml

from damaskjunction.lab.control_rig import ControlFleet
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    at_most,
    experiments,
)
from damaskjunction.standins import Answer

N_RACES = 1000
N_HOSTS = 3
LOST_ANSWER_SHARE = 0.1
STALE_SHARE = 0.2
IN_FORCE_TIMEOUT_S = 10.0


class _Edit(NamedTuple):
    """One attempt to change the configuration, and the response."""

    editor: str
    share: float
    expected: int
    answer: Answer

    @property
    def is_accepted(self) -> bool:
        """Whether the response reports the configuration as accepted."""
        return self.answer.status == 200


class _Tally:
    """Counts of the outcomes of the races and of their errors."""

    def __init__(self) -> None:
        self.n_accepted = 0
        self.n_conflicts = 0
        self.n_unknown = 0
        self.n_double = 0
        self.n_unnamed = 0
        self.n_reverted = 0


@experiments.register("editor-races")
async def run_editor_races(options: ExperimentOptions) -> ExperimentResult:
    """Race two editors; no accepted configuration may be lost or reverted."""
    chance = random.Random(options.seed)
    fleet = ControlFleet(N_HOSTS, options.seed)
    tally = _Tally()
    await fleet.start()
    try:
        for _ in range(round(N_RACES * options.scale)):
            await _race(fleet, chance, tally)
        delays = await fleet.in_force_delays(fleet.revision, 0.0, IN_FORCE_TIMEOUT_S)
        n_lacking = len(fleet.names) - len(delays)
        n_back = _count_steps_back(fleet)
    finally:
        await fleet.close()
    return ExperimentResult(
        (
            Figure("texts accepted", tally.n_accepted),
            Figure("conflicts told", tally.n_conflicts),
            Figure("outcome unknown", tally.n_unknown),
            at_most("races that two editors won", tally.n_double, 0),
            at_most("conflicts without the winner's name", tally.n_unnamed, 0),
            at_most("accepted texts lost or reverted", tally.n_reverted, 0),
            at_most("hosts that went back", n_back, 0),
            at_most("hosts without the last text", n_lacking, 0),
        )
    )


async def _race(fleet: ControlFleet, chance: random.Random, tally: _Tally) -> None:
    """Let two editors edit concurrently, sometimes one from a stale revision."""
    if chance.random() < LOST_ANSWER_SHARE:
        await fleet.set_platform(lose_answers=1)
    expected = [fleet.revision, fleet.revision]
    if chance.random() < STALE_SHARE:
        expected[1] -= 1
    edits = await asyncio.gather(
        _edit(fleet, chance, "ana", expected[0]),
        _edit(fleet, chance, "ben", expected[1]),
    )
    await fleet.set_platform(lose_answers=0)
    _count(edits, tally)
    stored = await fleet.fleet.call(fleet.names[0], "GET", "/v1/configuration")
    winners = [edit for edit in edits if edit.is_accepted]
    share = yaml.safe_load(stored.body)["workspaces"]["clubs"]["share"]
    revision = int(stored.headers["revision"])
    for winner in winners:
        is_kept = winner.answer.to_json()["revision"] == revision
        tally.n_reverted += not (is_kept and share == winner.share)
    fleet.revision = revision


async def _edit(
    fleet: ControlFleet, chance: random.Random, editor: str, expected: int
) -> _Edit:
    share = round(chance.uniform(1.0, 9.0), 6)
    name = chance.choice(fleet.names)
    await asyncio.sleep(chance.uniform(0.0, 0.005))
    answer = await fleet.apply(name, share, expected=expected, editor=editor)
    return _Edit(editor, share, expected, answer)


def _count(edits: Sequence[_Edit], tally: _Tally) -> None:
    winners = [edit for edit in edits if edit.is_accepted]
    tally.n_accepted += len(winners)
    tally.n_double += len(winners) > 1
    for edit in edits:
        if edit.answer.status == 409:
            tally.n_conflicts += 1
            told = edit.answer.to_json()["error"]["editor"]
            tally.n_unnamed += bool(winners) and told not in ("ana", "ben", "lab")
        elif not edit.is_accepted:
            tally.n_unknown += 1


def _count_steps_back(fleet: ControlFleet) -> int:
    """Return how often a host activated a lower revision than before."""
    highest: dict[str, int] = {}
    n_back = 0
    for line in fleet.lines("configuration in force"):
        revision = line.fields["revision"]
        n_back += revision < highest.get(line.host_id, 0)
        highest[line.host_id] = max(revision, highest.get(line.host_id, 0))
    return n_back

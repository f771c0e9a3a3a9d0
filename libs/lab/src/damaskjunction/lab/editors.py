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
from damaskjunction.standins import BufferedResponse

N_RACES = 1000
N_HOSTS = 3
LOST_RESPONSE_PROBABILITY = 0.1
STALE_PROBABILITY = 0.2
ACTIVATION_TIMEOUT_S = 10.0


class _Edit(NamedTuple):
    """One attempt to change the configuration, and the response."""

    editor: str
    share: float
    expected: int
    response: BufferedResponse

    @property
    def is_accepted(self) -> bool:
        """Whether the response reports the configuration as accepted."""
        return self.response.status == 200


class _Tally:
    """Counts of the outcomes of edits, and of violations found in the races."""

    def __init__(self) -> None:
        self.n_accepted = 0
        self.n_conflicts = 0
        self.n_unknown = 0
        self.n_double_wins = 0
        self.n_unattributed = 0
        self.n_reverted = 0


@experiments.register("editor-races")
async def run_editor_races(options: ExperimentOptions) -> ExperimentResult:
    """Race two editors; no accepted configuration may be lost or reverted."""
    rng = random.Random(options.seed)
    fleet = ControlFleet(N_HOSTS, options.seed)
    tally = _Tally()
    await fleet.start()
    try:
        for _ in range(round(N_RACES * options.scale)):
            await _race(fleet, rng, tally)
        delays = await fleet.activation_delays(
            fleet.revision, 0.0, ACTIVATION_TIMEOUT_S
        )
        n_missing = len(fleet.names) - len(delays)
        n_regressions = _count_regressions(fleet)
    finally:
        await fleet.close()
    return ExperimentResult(
        (
            Figure("texts accepted", tally.n_accepted),
            Figure("conflicts told", tally.n_conflicts),
            Figure("outcome unknown", tally.n_unknown),
            at_most("races that two editors won", tally.n_double_wins, 0),
            at_most("conflicts without the winner's name", tally.n_unattributed, 0),
            at_most("accepted texts lost or reverted", tally.n_reverted, 0),
            at_most("hosts that went back", n_regressions, 0),
            at_most("hosts without the last text", n_missing, 0),
        )
    )


async def _race(fleet: ControlFleet, rng: random.Random, tally: _Tally) -> None:
    """Let two editors edit concurrently, sometimes one from a stale revision."""
    if rng.random() < LOST_RESPONSE_PROBABILITY:
        await fleet.set_platform_faults(lose_answers=1)
    expected = [fleet.revision, fleet.revision]
    if rng.random() < STALE_PROBABILITY:
        expected[1] -= 1
    edits = await asyncio.gather(
        _edit(fleet, rng, "ana", expected[0]),
        _edit(fleet, rng, "ben", expected[1]),
    )
    await fleet.set_platform_faults(lose_answers=0)
    _count_outcomes(edits, tally)
    stored = await fleet.fleet.call(fleet.names[0], "GET", "/v1/configuration")
    winners = [edit for edit in edits if edit.is_accepted]
    share = yaml.safe_load(stored.body)["workspaces"]["clubs"]["share"]
    revision = int(stored.headers["revision"])
    for winner in winners:
        is_stored = winner.response.to_json()["revision"] == revision
        tally.n_reverted += not (is_stored and share == winner.share)
    fleet.revision = revision


async def _edit(
    fleet: ControlFleet, rng: random.Random, editor: str, expected: int
) -> _Edit:
    share = round(rng.uniform(1.0, 9.0), 6)
    name = rng.choice(fleet.names)
    await asyncio.sleep(rng.uniform(0.0, 0.005))
    response = await fleet.apply(name, share, expected=expected, editor=editor)
    return _Edit(editor, share, expected, response)


def _count_outcomes(edits: Sequence[_Edit], tally: _Tally) -> None:
    winners = [edit for edit in edits if edit.is_accepted]
    tally.n_accepted += len(winners)
    tally.n_double_wins += len(winners) > 1
    for edit in edits:
        if edit.response.status == 409:
            tally.n_conflicts += 1
            reported_editor = edit.response.to_json()["error"]["editor"]
            tally.n_unattributed += bool(winners) and reported_editor not in (
                "ana",
                "ben",
                "lab",
            )
        elif not edit.is_accepted:
            tally.n_unknown += 1


def _count_regressions(fleet: ControlFleet) -> int:
    """Return how often a host activated a lower revision than before."""
    highest: dict[str, int] = {}
    n_regressions = 0
    for line in fleet.lines("configuration in force"):
        revision = line.fields["revision"]
        n_regressions += revision < highest.get(line.host_id, 0)
        highest[line.host_id] = max(revision, highest.get(line.host_id, 0))
    return n_regressions

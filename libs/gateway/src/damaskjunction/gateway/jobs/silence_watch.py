"""The watch over the runner of a batch item, and the search for another one.

Silence is no failure: a runner keeps the item and its slot until another one is ready,
unless its process answers while it sends nothing of the item.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from damaskjunction.core import RequestError, Runner, RunnerId, Timers
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.gateway.jobs.runner_probes import RunnerProbes
from damaskjunction.gateway.slots.slot import Slot
from damaskjunction.gateway.slots.slot_client import SlotClient
from damaskjunction.node import cancel_tasks
from damaskjunction.wire import SlotAsk

STALL_TIMEOUT_S = 3.0
PROBE_AFTER_S = 2.0  # so that the process is known to answer or not by then
N_FIRST_PROBES = 2  # the first may go over a connection that is dead
PROBE_PAUSE_S = 200 * MILLISECOND_S
# For data that are on their way when the process answers, or wait to be read.
GRACE_S = 200 * MILLISECOND_S
MAX_SEARCH_S = 10.0  # then the item waits where it can be seen to lie


class Hearing:
    """When a runner was heard last, and when its last long silence ended.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._heard = asyncio.Event()
        self.begin()

    def begin(self) -> None:
        """Begin to listen to a runner."""
        self.n_parts = 0
        self._at_s = self.silence_ended_at_s = self._timers.now()

    def record(self) -> None:
        """Record that the runner has sent something."""
        self.n_parts += 1
        if self.silent_s >= STALL_TIMEOUT_S:
            self.restart()
        self._at_s = self._timers.now()
        self._heard.set()

    def restart(self) -> None:
        """Count the silence from now on."""
        self._at_s = self.silence_ended_at_s = self._timers.now()
        self._heard.set()

    @property
    def silent_s(self) -> float:
        """Seconds since the runner was heard."""
        return self._timers.now() - self._at_s

    async def wait(self) -> None:
        """Return when it is heard again."""
        self._heard.clear()
        await self._heard.wait()


class SilenceWatch:
    """Tells when an item has to leave its runner, and holds the slot of the next one.

    Parameters
    ----------
    hearing : Hearing
        When the runner was heard last.
    runner_id : str
        The runner.
    probes : RunnerProbes
        Tell whether a runner's process answers.
    slot_client : SlotClient
        Acquires the slots.
    make_ask : callable
        Returns the ask for a slot of another runner than those given.
    is_wanted : callable
        Returns whether another runner may have the item at present.
    find_runner : callable
        Returns a known runner by its id, else None.
    on_silence : callable
        Called when the process does not answer.
    """

    def __init__(
        self,
        hearing: Hearing,
        runner_id: RunnerId,
        probes: RunnerProbes,
        slot_client: SlotClient,
        *,
        make_ask: Callable[[Collection[RunnerId]], SlotAsk],
        is_wanted: Callable[[], bool],
        find_runner: Callable[[RunnerId], Runner | None],
        on_silence: Callable[[], None],
    ) -> None:
        self._hearing = hearing
        self._runner_id = runner_id
        self._probes = probes
        self._slot_client = slot_client
        self._make_ask = make_ask
        self._is_wanted = is_wanted
        self._find_runner = find_runner
        self._on_silence = on_silence
        self._held: Slot | None = None

    @property
    def has_standby(self) -> bool:
        """Whether the slot of another runner is held."""
        return self._held is not None

    def take_standby(self) -> Slot | None:
        """Return the slot of a runner that is ready; the caller has to close it."""
        held, self._held = self._held, None
        return held

    async def close(self) -> None:
        """Release the slot of another runner, if one is held."""
        if (held := self.take_standby()) is not None:
            await held.close()

    async def wait_until_left(self) -> None:
        """Return when the item has to leave its runner.

        Another runner is ready for it then, or the runner's process answers but sends
        nothing of the item, or no other runner was ready in ``MAX_SEARCH_S``.
        """
        while True:
            await self._wait_for_silence(PROBE_AFTER_S)
            n_parts = self._hearing.n_parts
            is_answering = await self._probe_first()
            await self._wait_for_silence(STALL_TIMEOUT_S)
            if self._hearing.n_parts != n_parts:
                continue
            if is_answering:
                return
            self._on_silence()
            if await self._search_while_silent():
                return
            self._hearing.restart()

    async def _wait_for_silence(self, limit_s: float) -> None:
        while True:
            left_s = limit_s - self._hearing.silent_s
            if left_s <= 0:
                return
            await asyncio.sleep(left_s)

    async def _probe_first(self) -> bool:
        """Return whether the process answers, once what it sent before has come."""
        for _ in range(N_FIRST_PROBES):
            if await self._answers():
                await asyncio.sleep(GRACE_S)
                return True
        return False

    async def _answers(self) -> bool:
        runner = self._find_runner(self._runner_id)
        if runner is None or not self._probes.has_report(runner):
            return False
        return await self._probes.answers(runner)

    async def _search_while_silent(self) -> bool:
        """Return whether the item has to leave; False if the runner is heard again."""
        searching = asyncio.ensure_future(self._hold_other())
        heard = asyncio.ensure_future(self._hearing.wait())
        answered = asyncio.ensure_future(self._wait_for_answer())
        tasks = (searching, heard, answered)
        try:
            await asyncio.wait(
                tasks, timeout=MAX_SEARCH_S, return_when=asyncio.FIRST_COMPLETED
            )
            is_heard = heard.done() or answered.done()
        finally:
            await cancel_tasks(tasks)
        if is_heard:
            await self.close()
        return not is_heard

    async def _wait_for_answer(self) -> None:
        while True:
            if await self._answers():
                return
            await asyncio.sleep(PROBE_PAUSE_S)

    async def _hold_other(self) -> None:
        """Hold a slot of a runner that answers, as soon as there is one."""
        unready: set[RunnerId] = {self._runner_id}
        while True:
            if self._is_wanted():
                try:
                    self._held = await self._acquire_ready(unready)
                except RequestError:
                    unready = {self._runner_id}
            if self._held is not None:
                return
            await asyncio.sleep(PROBE_PAUSE_S)

    async def _acquire_ready(self, unready: set[RunnerId]) -> Slot | None:
        """Return a slot of another runner, None if it does not answer.

        Raises
        ------
        RequestError
            When no slot is granted.
        """
        slot = await self._slot_client.acquire(
            self._make_ask(unready), lambda home: None, self._is_wanted
        )
        is_ready = False
        try:
            is_ready = await self._is_ready(slot)
        finally:
            if not is_ready:
                await slot.close()
        if not is_ready:
            unready.add(slot.runner_id)
        return slot if is_ready else None

    async def _is_ready(self, slot: Slot) -> bool:
        runner = self._find_runner(slot.runner_id)
        if runner is None or runner.runner_id == self._runner_id:
            return False
        return not self._probes.has_report(runner) or await self._probes.answers(runner)

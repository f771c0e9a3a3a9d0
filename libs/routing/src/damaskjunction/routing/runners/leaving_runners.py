"""Runners that have said in an answer that they leave.

What a runner says holds for its process, not for another process of the same runner. An
entry states when its process started, while an answer does not, and the entry may come
later than the answer. So an answer speaks for the process of the known entry, and for a
later one if that had started before the request was sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damaskjunction.core import Runner, RunnerId
from damaskjunction.core.units import MILLISECOND_S, MINUTE_S

DEFAULT_DRAIN_S = 2.0
DEFAULT_MAX_SKEW_S = 5.0
NOTICE_TTL_S = 10 * MINUTE_S
MAX_REPORTED = 16


class LeavingNotice(NamedTuple):
    """A runner's word, first heard ``age_s`` seconds ago, that it leaves.

    It holds for processes that started no later than ``last_born_ms`` (Unix time).
    """

    runner_id: RunnerId
    last_born_ms: int
    age_s: float


class _Notice(NamedTuple):
    last_born_ms: int
    first_heard_at_s: float
    heard_at_s: float


class LeavingRunners:
    """The runners that one host knows to leave, as told by them or by other hosts.

    Parameters
    ----------
    drain_s : float, optional
        Seconds for which a leaving runner may be used if all of its service leave.
    max_skew_s : float, optional
        Largest difference in seconds of the clocks of runners and hosts.
    """

    def __init__(
        self,
        drain_s: float = DEFAULT_DRAIN_S,
        max_skew_s: float = DEFAULT_MAX_SKEW_S,
    ) -> None:
        self._drain_s = drain_s
        self._max_skew_ms = int(max_skew_s / MILLISECOND_S)
        self._notices_by_id: dict[RunnerId, _Notice] = {}

    def record_answer(self, runner: Runner, asked_at_ms: int, now_s: float) -> bool:
        """Record that a runner said so; return whether it was not known to leave.

        ``runner`` is the entry that was known when the request was sent, at the Unix
        millisecond ``asked_at_ms``.
        """
        self._forget_old(now_s)
        was_leaving = self.is_leaving(runner)
        last_born_ms = max(runner.born_ms, asked_at_ms - self._max_skew_ms)
        self._record(runner, last_born_ms, now_s, now_s)
        return not was_leaving

    def record_notices(
        self,
        notices: Iterable[LeavingNotice],
        runners_by_id: Mapping[RunnerId, Runner],
        now_s: float,
    ) -> None:
        """Record what other hosts were told by runners that are known here."""
        for notice in notices:
            runner = runners_by_id.get(notice.runner_id)
            if runner is not None and runner.born_ms <= notice.last_born_ms:
                heard_at_s = now_s - notice.age_s
                self._record(runner, notice.last_born_ms, heard_at_s, now_s)

    def is_leaving(self, runner: Runner) -> bool:
        """Return whether the process of a runner's entry leaves."""
        notice = self._notices_by_id.get(runner.runner_id)
        return notice is not None and runner.born_ms <= notice.last_born_ms

    def usable(self, runners: list[Runner], now_s: float) -> list[Runner]:
        """Return those of a service's runners that may be given requests.

        These are the ones that stay. If all leave, they are those whose word was first
        heard no longer ago than a leaving runner may be used.
        """
        if not self._notices_by_id:
            return runners
        staying = [runner for runner in runners if not self.is_leaving(runner)]
        if staying:
            return staying
        return [
            runner
            for runner in runners
            if now_s - self._notices_by_id[runner.runner_id].first_heard_at_s
            < self._drain_s
        ]

    def forget_entry(self, entry: Runner) -> None:
        """Forget a runner whose entry, which is gone, told no start.

        A later process of it could not be told apart from the one that leaves.
        """
        if not entry.born_ms:
            self._notices_by_id.pop(entry.runner_id, None)

    def notices(
        self, runners: Iterable[Runner], now_s: float
    ) -> tuple[LeavingNotice, ...]:
        """Return what is known of these runners, ``MAX_REPORTED`` at most."""
        if not self._notices_by_id:
            return ()
        found = []
        for runner in runners:
            if self.is_leaving(runner):
                notice = self._notices_by_id[runner.runner_id]
                age_s = now_s - notice.first_heard_at_s
                found.append(
                    LeavingNotice(runner.runner_id, notice.last_born_ms, age_s)
                )
        return tuple(found[-MAX_REPORTED:])

    def to_document(self) -> dict[str, int]:
        """Return the latest start of a leaving process, by runner, for the dump."""
        return {
            runner_id: notice.last_born_ms
            for runner_id, notice in self._notices_by_id.items()
        }

    def _record(
        self, runner: Runner, last_born_ms: int, first_heard_at_s: float, now_s: float
    ) -> None:
        notice = _Notice(last_born_ms, first_heard_at_s, now_s)
        if self.is_leaving(runner):
            known = self._notices_by_id[runner.runner_id]
            notice = _Notice(
                max(known.last_born_ms, last_born_ms),
                min(known.first_heard_at_s, first_heard_at_s),
                now_s,
            )
        self._notices_by_id[runner.runner_id] = notice

    def _forget_old(self, now_s: float) -> None:
        for runner_id, notice in list(self._notices_by_id.items()):
            if now_s - notice.heard_at_s > NOTICE_TTL_S:
                del self._notices_by_id[runner_id]

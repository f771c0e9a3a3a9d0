"""Saturating load of batch requests, sent straight to the admitting hosts."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from damaskjunction.core import (
    EntryHost,
    RequestError,
    Runner,
    Timers,
    WorkClass,
)
from damaskjunction.routing import Forward, Token
from damaskjunction.standins import token_text
from damaskjunction.wire import PeerLinks

RETRY_S = 0.1
ITEM_TIMEOUT_S = 60.0
PROMPT_WORDS = 30


class BatchSpec(NamedTuple):
    """Batch requests of ``n_tokens`` each, ``n_at_once`` concurrent per runner."""

    service: str
    workspace: str
    n_at_once: int = 12
    n_tokens: int = 64
    seed: int = 1


class BatchCounts(NamedTuple):
    """Counters so far; ``n_wrong`` counts tokens lost, duplicated or wrong."""

    n_tokens: int = 0
    n_items: int = 0
    n_errors: int = 0
    n_wrong: int = 0


class BatchLoad:
    """Keeps ``n_at_once`` batch requests in flight at each runner's admitting host.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    spec : BatchSpec
        Size, number and seed of the requests.
    admitting_host : callable
        Returns the host to which a request for a runner is sent.
    """

    def __init__(
        self,
        timers: Timers,
        spec: BatchSpec,
        admitting_host: Callable[[Runner], EntryHost],
    ) -> None:
        self.counts = BatchCounts()
        self._spec = spec
        self._admitting_host = admitting_host
        self._links = PeerLinks(timers)
        self._rng = random.Random(spec.seed)
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, runners: Sequence[Runner]) -> None:
        """Start sending requests for the runners."""
        for runner in runners:
            for _ in range(self._spec.n_at_once):
                self._tasks.append(asyncio.ensure_future(self._keep_sending(runner)))

    async def close(self) -> None:
        """Cancel the requests in flight and close the links."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._links.close()

    async def _keep_sending(self, runner: Runner) -> None:
        while True:
            number = next(self._numbers)
            words = [str(self._rng.random()) for _ in range(PROMPT_WORDS)]
            try:
                await self._run_item(runner, f"batch-{number}", " ".join(words))
            except RequestError:
                counts = self.counts
                self.counts = counts._replace(n_errors=counts.n_errors + 1)
                await asyncio.sleep(RETRY_S)

    async def _run_item(self, runner: Runner, request_id: str, prompt: str) -> None:
        document = {"prompt": prompt, "max_tokens": self._spec.n_tokens}
        forward = Forward(
            request_id=request_id,
            attempt=1,
            runner_id=runner.runner_id,
            service_name=self._spec.service,
            workspace=self._spec.workspace,
            work_class=WorkClass.BATCH,
            deadline_s=ITEM_TIMEOUT_S,
            idempotent=True,
            path="/v1/generate",
            content_type="application/json",
            body=json.dumps(document).encode(),
        )
        host = self._admitting_host(runner)
        position = 0
        lane = WorkClass.BATCH.value
        async for message in self._links.call(host.peer, lane, forward):
            if not isinstance(message, Token):
                continue
            is_expected = message.position == position
            is_expected &= message.text == token_text(prompt, position)
            counts = self.counts
            self.counts = counts._replace(
                n_tokens=counts.n_tokens + 1, n_wrong=counts.n_wrong + (not is_expected)
            )
            position += 1
        self.counts = self.counts._replace(n_items=self.counts.n_items + 1)

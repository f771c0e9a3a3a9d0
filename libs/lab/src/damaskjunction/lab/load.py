"""Open-loop load generator: arrivals do not wait for responses."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from damaskjunction.core import Address, Timers
from damaskjunction.http import (
    BrokenResponseError,
    ClientResponse,
    ConnectFailedError,
    EventParser,
    HttpClient,
)
from damaskjunction.standins import CALLER_KEY, token_text
from damaskjunction.telemetry import Metrics

FIRST_TOKEN = "first_token_seconds"
TOKEN_INTERVAL = "token_interval_seconds"
COMPLETE = "whole"
NO_CONNECTION = "no_connection"
BROKEN = "broken"
WRONG = "wrong"


class CallRecord(NamedTuple):
    """One call as its caller observed it; times in seconds since the load began.

    ``outcome`` is ``"whole"`` for a complete response, the outcome that the system
    reported, or the kind of failure that the caller detected.
    """

    number: int
    prompt: str
    started_s: float
    ended_s: float
    outcome: str
    reason: str = ""
    request_id: str = ""
    first_token_s: float = 0.0


class LoadSpec(NamedTuple):
    """Load on one engine service.

    ``rate_per_s`` returns the arrivals per second at a time in seconds since the load
    began; ``peak_per_s`` is its upper bound.
    """

    service: str
    rate_per_s: Callable[[float], float]
    peak_per_s: float
    duration_s: float
    n_tokens: int = 16
    deadline_s: float = 10.0
    prompt_characters: int = 200
    seed: int = 1


class LoadResult(NamedTuple):
    """Records of all calls, and histograms of their token timing."""

    records: Sequence[CallRecord]
    metrics: Metrics

    def n_complete(self) -> int:
        """Return how many calls got a complete response."""
        return sum(record.outcome == COMPLETE for record in self.records)


class LoadGenerator:
    """Generates calls to a fleet, each to one of the addresses at random.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    addresses : sequence of Address
        Caller addresses of the entry hosts.
    """

    def __init__(self, timers: Timers, addresses: Sequence[Address]) -> None:
        self._timers = timers
        self.addresses = list(addresses)
        self._client = HttpClient(timers)
        self._numbers = itertools.count()

    def close(self) -> None:
        """Close the callers' connections."""
        self._client.close()

    async def run(self, spec: LoadSpec, metrics: Metrics | None = None) -> LoadResult:
        """Generate the load and return when every call has ended.

        The timing is added to ``metrics``, which several runs may share.
        """
        rng = random.Random(spec.seed)
        metrics = metrics or Metrics()
        begin_s = self._timers.now()
        calls: list[asyncio.Task[CallRecord]] = []
        at_s = 0.0
        while True:
            at_s += rng.expovariate(spec.peak_per_s)
            if at_s >= spec.duration_s:
                break
            # thinning: keep an arrival with probability rate / peak
            if rng.random() * spec.peak_per_s >= spec.rate_per_s(at_s):
                continue
            prompt = _make_prompt(rng, spec.prompt_characters)
            address = rng.choice(self.addresses)
            await asyncio.sleep(begin_s + at_s - self._timers.now())
            call = self._call(spec, address, prompt, begin_s, metrics)
            calls.append(asyncio.ensure_future(call))
        records = await asyncio.gather(*calls)
        return LoadResult(records, metrics)

    async def _call(
        self,
        spec: LoadSpec,
        address: Address,
        prompt: str,
        begin_s: float,
        metrics: Metrics,
    ) -> CallRecord:
        record = CallRecord(
            next(self._numbers), prompt, self._timers.now() - begin_s, 0.0, BROKEN
        )
        document = {
            "prompt": prompt,
            "max_tokens": spec.n_tokens,
            "deadline_s": spec.deadline_s,
        }
        try:
            async with asyncio.timeout(spec.deadline_s + 1.0):
                response = await self._client.send(
                    address,
                    "POST",
                    f"/v1/services/{spec.service}/generate",
                    headers={"Authorization": f"Bearer {CALLER_KEY}"},
                    body=json.dumps(document).encode(),
                )
                record = await self._read(spec, response, record, begin_s, metrics)
        except ConnectFailedError:
            record = record._replace(outcome=NO_CONNECTION)
        except (BrokenResponseError, TimeoutError) as error:
            record = record._replace(outcome=BROKEN, reason=repr(error))
        return record._replace(ended_s=self._timers.now() - begin_s)

    async def _read(
        self,
        spec: LoadSpec,
        response: ClientResponse,
        record: CallRecord,
        begin_s: float,
        metrics: Metrics,
    ) -> CallRecord:
        request_id = response.headers.get("request-id", "")
        record = record._replace(request_id=request_id)
        if response.status != 200:
            error = json.loads(await response.read())["error"]
            outcome = error.get("outcome", str(response.status))
            return record._replace(outcome=outcome, reason=error["reason"])
        parser = EventParser()
        position = 0
        previous_s = begin_s + record.started_s
        async for data in response.chunks():
            for event in parser.feed(data):
                document = json.loads(event.data)
                if event.name == "error":
                    return record._replace(
                        outcome=document["outcome"], reason=document["reason"]
                    )
                if event.name == "end":
                    is_complete = position == spec.n_tokens
                    return record._replace(outcome=COMPLETE if is_complete else WRONG)
                if document["text"] != token_text(record.prompt, position):
                    return record._replace(outcome=WRONG)
                now_s = self._timers.now()
                if position == 0:
                    record = record._replace(first_token_s=now_s - previous_s)
                metrics.observe_duration(
                    FIRST_TOKEN if position == 0 else TOKEN_INTERVAL,
                    now_s - previous_s,
                )
                previous_s = now_s
                position += 1
        return record


def constant_rate(rate_per_s: float) -> Callable[[float], float]:
    """Return a constant arrival rate."""
    return lambda at_s: rate_per_s


def periodic_bursts(
    base_per_s: float, burst_per_s: float, *, every_s: float, length_s: float
) -> Callable[[float], float]:
    """Return an arrival rate with a burst at the end of each period."""
    return lambda at_s: (
        burst_per_s if at_s % every_s >= every_s - length_s else base_per_s
    )


def _make_prompt(rng: random.Random, n_characters: int) -> str:
    words = []
    length = 0
    while length < n_characters:
        word = f"q{rng.randrange(100_000)}"
        words.append(word)
        length += len(word) + 1
    return " ".join(words)

"""Callers that retry at another address when a connection fails."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Sequence
from typing import NamedTuple

from damaskjunction.core import Address, Timers
from damaskjunction.http import (
    BrokenResponseError,
    ClientResponse,
    ConnectFailedError,
    EventParser,
    HttpClient,
)
from damaskjunction.lab.load import BROKEN, COMPLETE, NO_CONNECTION, WRONG
from damaskjunction.standins import CALLER_KEY, token_text

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.2
DEADLINE_S = 10.0
N_TOKENS = 24
CONNECTION_FAILURES = frozenset((NO_CONNECTION, BROKEN))


class CallResult(NamedTuple):
    """One call with its retries; ``attempts`` holds the outcome of each attempt.

    ``label`` is unique to the call and is part of its prompt or body.
    """

    label: str
    is_engine: bool
    attempts: tuple[str, ...]
    started_s: float
    duration_s: float

    @property
    def is_complete(self) -> bool:
        """Whether the last attempt got a complete response."""
        return self.attempts[-1] == COMPLETE


class RetryingCallers:
    """Callers of caddie-llm, and of a call of fleet-api that is not idempotent.

    An attempt that loses its connection is repeated at another address, for fleet-api
    under the same idempotency key.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    addresses : sequence of Address
        Caller addresses of the entry hosts.
    rng : random.Random
        Random generator for arrivals, services and addresses.
    """

    def __init__(
        self, timers: Timers, addresses: Sequence[Address], rng: random.Random
    ) -> None:
        self._timers = timers
        self._addresses = list(addresses)
        self._rng = rng
        self._client = HttpClient(timers)
        self._numbers = itertools.count()
        self._begin_s = timers.now()

    def close(self) -> None:
        """Close the callers' connections."""
        self._client.close()

    def elapsed_s(self) -> float:
        """Return the seconds since this object was created."""
        return self._timers.now() - self._begin_s

    async def run(
        self, duration_s: float, *, engine_per_s: float, plain_per_s: float
    ) -> list[CallResult]:
        """Generate an open-loop load and return when every call has ended."""
        calls = []
        end_s = self.elapsed_s() + duration_s
        total_per_s = engine_per_s + plain_per_s
        while self.elapsed_s() < end_s:
            await asyncio.sleep(self._rng.expovariate(total_per_s))
            is_engine = self._rng.random() * total_per_s < engine_per_s
            calls.append(asyncio.ensure_future(self.call(is_engine=is_engine)))
        return list(await asyncio.gather(*calls))

    async def call(self, *, is_engine: bool) -> CallResult:
        """Make one call, with up to three retries at other addresses."""
        label = f"call-{next(self._numbers)}-"
        started_s = self.elapsed_s()
        addresses = self._rng.sample(self._addresses, len(self._addresses))
        attempts: list[str] = []
        for address in itertools.islice(itertools.cycle(addresses), MAX_ATTEMPTS):
            attempts.append(await self._attempt(address, label, is_engine=is_engine))
            if attempts[-1] not in CONNECTION_FAILURES:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        duration_s = self.elapsed_s() - started_s
        return CallResult(label, is_engine, tuple(attempts), started_s, duration_s)

    async def _attempt(self, address: Address, label: str, *, is_engine: bool) -> str:
        send = self._generate if is_engine else self._send_alert
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                return await send(address, label)
        except ConnectFailedError:
            return NO_CONNECTION
        except (BrokenResponseError, TimeoutError):
            return BROKEN

    async def _generate(self, address: Address, label: str) -> str:
        words = (f"q{self._rng.randrange(100_000)}" for _ in range(20))
        prompt = f"{label} {' '.join(words)}"
        document = {
            "prompt": prompt,
            "max_tokens": N_TOKENS,
            "deadline_s": DEADLINE_S,
        }
        response = await self._client.send(
            address,
            "POST",
            "/v1/services/caddie-llm/generate",
            headers={"Authorization": f"Bearer {CALLER_KEY}"},
            body=json.dumps(document).encode(),
        )
        if response.status != 200:
            return await _read_error(response)
        return await _read_stream(response, prompt)

    async def _send_alert(self, address: Address, label: str) -> str:
        headers = {"Authorization": f"Bearer {CALLER_KEY}", "Idempotency-Key": label}
        response = await self._client.send(
            address,
            "POST",
            "/v1/services/fleet-api/call/pace-alert/7",
            headers=headers,
            body=label.encode(),
        )
        if response.status != 200:
            return await _read_error(response)
        document = json.loads(await response.read())
        return COMPLETE if document["body"] == label else WRONG


async def _read_stream(response: ClientResponse, prompt: str) -> str:
    parser = EventParser()
    position = 0
    async for data in response.chunks():
        for event in parser.feed(data):
            document = json.loads(event.data)
            if event.name == "error":
                return f"{document['outcome']}/{document['reason']}"
            if event.name == "end":
                return COMPLETE if position == N_TOKENS else WRONG
            if document["text"] != token_text(prompt, position):
                return WRONG
            position += 1
    return WRONG


async def _read_error(response: ClientResponse) -> str:
    error = json.loads(await response.read())["error"]
    return f"{error.get('outcome', response.status)}/{error['reason']}"

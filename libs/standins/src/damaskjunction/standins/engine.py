"""Stand-in for a model engine with continuous batching and no priorities.

An order is the document that tells an engine which version of a model to load.
"""

from __future__ import annotations

import asyncio
import json
from collections import OrderedDict
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from damaskjunction.core import Address, Subscription, Timers, stable_hash
from damaskjunction.http import (
    EVENT_STREAM_TYPE,
    Event,
    HttpClient,
    HttpError,
    HttpServer,
    Request,
    Response,
    Routes,
    encode_event,
    read_json,
    to_json_response,
)
from damaskjunction.standins.faults import Faults

CRASH_MARK = "CRASH-THE-ENGINE"
BROKEN_VERSION = "broken"
# The weight store sends nothing before a download ends, and serves one at a time.
WEIGHTS_STALL_TIMEOUT_S = 600.0
MAX_ORDERS = 1000
BLOCK_CHARACTERS = 32  # size of a block of the prefix cache
LOGGED_CHARACTERS = 40  # length of the prompt prefix in the log line of a run
MAX_CACHE_EVENTS = 1000


class EngineSpeed(NamedTuple):
    """Performance model and capacity of the stand-in.

    A step produces one token for each stream whose prefill is done, and processes
    ``prefill_characters`` of the prompt of each other stream. It takes ``step_s`` plus
    ``step_per_stream_s`` for each stream; each stream beyond ``slots`` adds a further
    ``overload_factor * step_per_stream_s``. The prefix cache holds ``kv_characters``.
    Loading weights takes ``load_s_per_gb`` after their download. The report of the
    current load is updated every ``report_lag_s``; cache events are listed with that
    delay.
    """

    step_s: float = 0.010
    step_per_stream_s: float = 0.001
    slots: int = 8
    overload_factor: float = 8.0
    prefill_characters: int = 2000
    kv_characters: int = 200_000
    load_s_per_gb: float = 0.1
    report_lag_s: float = 0.5


class _Stream:
    """A running request and the events not yet sent to its client."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.stream_id = str(document["stream_id"])
        self.prompt = str(document["prompt"])
        self.next_index = int(document.get("from_token", 0))
        self.max_tokens = int(document["max_tokens"])
        self.prefill_remaining = 0
        self.queue: asyncio.Queue[Event | None] = asyncio.Queue()


def token_text(prompt: str, index: int) -> str:
    """Return the token at ``index`` for ``prompt``, the same on every engine."""
    return f"w{stable_hash(prompt, str(index)) % 10_000} "


class EngineStandin:
    """A model engine with an HTTP API.

    Faults: ``frozen`` (1: no steps run), ``cut_streams`` (the next n streams are
    aborted after 3 events), ``slow_factor`` (multiplies the duration of steps; 0 means
    1), ``ignore_cancel`` (1: a stream runs on after its client disconnects),
    ``fail_loads`` (the next n loads fail; loads of ``BROKEN_VERSION`` always do). A
    prompt that contains ``CRASH_MARK`` sets ``crashed`` when its first token is due; an
    engine that runs as a process then exits with code 17.

    Parameters
    ----------
    address : Address
        Address to listen on.
    timers : Timers
        The process's timer service.
    speed : EngineSpeed, optional
        Performance and capacity.
    checks_fence : bool, optional
        Whether orders with a stale fencing token are rejected.
    weight_store : Address, optional
        Where weights are downloaded from; without it a load only takes time.
    """

    def __init__(
        self,
        address: Address,
        timers: Timers,
        *,
        speed: EngineSpeed | None = None,
        checks_fence: bool = True,
        weight_store: Address | None = None,
    ) -> None:
        self._timers = timers
        self._speed = speed or EngineSpeed()
        self._checks_fence = checks_fence
        self._streams_by_id: dict[str, _Stream] = {}
        self._cached_blocks: OrderedDict[int, int] = OrderedDict()
        self._cache_events: list[dict[str, Any]] = []
        self._n_cache_events = 0
        self._fence = 0
        self._order: dict[str, Any] = {}
        self._state = "empty"
        self._reason = ""
        self._received_orders: list[dict[str, Any]] = []
        self._weight_store = weight_store
        self._client = HttpClient(timers)
        self._loading_task: asyncio.Task[None] | None = None
        self._step_timer: Subscription | None = None
        self._load_report: dict[str, Any] = {"running": 0, "kv_used": 0}
        self._runs_by_id: dict[str, int] = {}
        self._n_tokens = 0
        self.crashed = asyncio.Event()
        self.faults = Faults(
            "frozen", "cut_streams", "slow_factor", "ignore_cancel", "fail_loads"
        )
        self._routes = self._make_routes()
        self._server = HttpServer(address, self._routes.handle)

    async def start(self) -> None:
        """Start to listen, serve and run steps."""
        await self._server.start()
        self._timers.every(self._speed.report_lag_s, self._update_load_report)
        self._schedule_step()

    async def close(self) -> None:
        """Cancel a load in progress and stop serving."""
        if self._loading_task is not None:
            self._loading_task.cancel()
        self._client.close()
        await self._server.close()

    def _make_routes(self) -> Routes:
        routes = Routes()
        self.faults.register(routes)
        routes.register("POST", "/v1/generate")(self._generate)
        routes.register("DELETE", "/v1/streams/{stream_id}")(self._cancel)
        routes.register("GET", "/v1/info")(self._get_info)
        routes.register("GET", "/v1/load")(self._get_load)
        routes.register("GET", "/v1/cache-events")(self._get_cache_events)
        routes.register("PUT", "/v1/order")(self._put_order)
        routes.register("GET", "/v1/order")(self._get_order)
        routes.register("GET", "/test/runs")(self._get_runs)
        routes.register("GET", "/test/orders")(self._get_orders)
        return routes

    async def _generate(self, request: Request) -> Response:
        document = await read_json(request)
        if self._state != "ready":
            raise HttpError(409, "no_model_loaded")
        stream = _Stream(document)
        print("run", stream.prompt[:LOGGED_CHARACTERS], flush=True)
        self._runs_by_id[stream.stream_id] = (
            self._runs_by_id.get(stream.stream_id, 0) + 1
        )
        stream.prefill_remaining = self._update_prefix_cache(stream.prompt)
        self._streams_by_id[stream.stream_id] = stream
        return Response(200, self._stream_events(stream), EVENT_STREAM_TYPE)

    async def _stream_events(self, stream: _Stream) -> AsyncIterator[bytes]:
        abort_after = 3 if self.faults.consume("cut_streams") else None
        n_sent = 0
        try:
            while (event := await stream.queue.get()) is not None:
                yield encode_event(event)
                n_sent += 1
                if n_sent == abort_after:
                    raise ConnectionResetError("injected fault: stream aborted")
        finally:
            if not self.faults["ignore_cancel"]:
                self._streams_by_id.pop(stream.stream_id, None)

    async def _cancel(self, request: Request, stream_id: str) -> Response:
        stream = self._streams_by_id.pop(stream_id, None)
        if stream is not None:
            stream.queue.put_nowait(None)
        return to_json_response({"cancelled": stream is not None})

    def _schedule_step(self) -> None:
        n_streams = max(1, len(self._streams_by_id))
        n_overload = max(0, n_streams - self._speed.slots)
        n_weighted_streams = n_streams + n_overload * self._speed.overload_factor
        duration_s = (
            self._speed.step_s + n_weighted_streams * self._speed.step_per_stream_s
        )
        duration_s *= self.faults["slow_factor"] or 1
        self._step_timer = self._timers.once(duration_s, self._run_step)

    def _run_step(self) -> None:
        if not self.faults["frozen"]:
            for stream in list(self._streams_by_id.values()):
                self._advance(stream)
        self._schedule_step()

    def _advance(self, stream: _Stream) -> None:
        if stream.prefill_remaining > 0:
            stream.prefill_remaining -= self._speed.prefill_characters
            return
        if CRASH_MARK in stream.prompt:
            print("crash", flush=True)
            self.crashed.set()
            return
        if stream.next_index >= stream.max_tokens:
            stream.queue.put_nowait(Event("end", json.dumps({"n": stream.max_tokens})))
            stream.queue.put_nowait(None)
            self._streams_by_id.pop(stream.stream_id, None)
            return
        text = token_text(stream.prompt, stream.next_index)
        data = json.dumps({"index": stream.next_index, "text": text})
        stream.queue.put_nowait(Event("token", data))
        stream.next_index += 1
        self._n_tokens += 1

    def _update_prefix_cache(self, prompt: str) -> int:
        """Add a prompt to the LRU prefix cache; return how many characters missed."""
        n_missing = 0
        for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
            block = stable_hash(prompt[:end])
            if block not in self._cached_blocks:
                n_missing += BLOCK_CHARACTERS
                self._record_cache_event("stored", block)
            self._cached_blocks[block] = BLOCK_CHARACTERS
            self._cached_blocks.move_to_end(block)
        while len(self._cached_blocks) * BLOCK_CHARACTERS > self._speed.kv_characters:
            block, _ = self._cached_blocks.popitem(last=False)
            self._record_cache_event("evicted", block)
        return n_missing

    def _record_cache_event(self, kind: str, block: int) -> None:
        self._n_cache_events += 1
        event = {"sequence": self._n_cache_events, "kind": kind, "block": block}
        self._cache_events.append({**event, "at_s": self._timers.now()})
        del self._cache_events[:-MAX_CACHE_EVENTS]

    async def _get_cache_events(self, request: Request) -> Response:
        after = int(request.query.get("after", "0"))
        until_s = self._timers.now() - self._speed.report_lag_s
        events = [
            event
            for event in self._cache_events
            if event["sequence"] > after and event["at_s"] <= until_s
        ]
        return to_json_response({"events": events[:200]})

    def _update_load_report(self) -> None:
        self._load_report = {
            "running": len(self._streams_by_id),
            "kv_used": len(self._cached_blocks) * BLOCK_CHARACTERS,
        }

    async def _get_load(self, request: Request) -> Response:
        return to_json_response(self._load_report)

    async def _get_info(self, request: Request) -> Response:
        document = {
            "checks_fence": self._checks_fence,
            "slots": self._speed.slots,
            "kv_characters": self._speed.kv_characters,
        }
        return to_json_response(document)

    async def _put_order(self, request: Request) -> Response:
        document = await read_json(request)
        fence, order = int(document["fence"]), document["order"]
        is_stale = fence < self._fence
        is_accepted = not (self._checks_fence and is_stale)
        self._received_orders.append(
            {
                "wall_s": self._timers.wall(),
                "fence": fence,
                "is_stale": is_stale,
                "is_taken": is_accepted,
                "is_change": order != self._order,
                "version": order["version"],
            }
        )
        del self._received_orders[:-MAX_ORDERS]
        if not is_accepted:
            raise HttpError(409, "stale_fence", fence=self._fence)
        self._fence = max(fence, self._fence)
        if order != self._order or self._state == "failed":
            self._start_loading(order)
        return await self._get_order(request)

    def _start_loading(self, order: dict[str, Any]) -> None:
        if self._loading_task is not None:
            self._loading_task.cancel()
        self._order = order
        self._state = "loading"
        self._reason = ""
        self._loading_task = asyncio.ensure_future(self._load_weights(order))

    async def _load_weights(self, order: dict[str, Any]) -> None:
        weights_gb = float(order.get("weights_gb", 1))
        if self._weight_store is not None:
            target = f"/weights/{order['model']}/{order['version']}?gb={weights_gb:g}"
            response = await self._client.send(
                self._weight_store, "GET", target, stall_s=WEIGHTS_STALL_TIMEOUT_S
            )
            await response.read()
        await asyncio.sleep(self._speed.load_s_per_gb * weights_gb)
        if self.faults.consume("fail_loads") or order["version"] == BROKEN_VERSION:
            self._state = "failed"
            self._reason = f"version {order['version']} does not load"
        else:
            self._state = "ready"

    async def _get_order(self, request: Request) -> Response:
        document = {
            "order": self._order,
            "state": self._state,
            "reason": self._reason,
            "fence": self._fence,
        }
        return to_json_response(document)

    async def _get_orders(self, request: Request) -> Response:
        return to_json_response({"orders": self._received_orders})

    async def _get_runs(self, request: Request) -> Response:
        document = {
            "runs_by_id": self._runs_by_id,
            "n_tokens": self._n_tokens,
            "n_streams": len(self._streams_by_id),
        }
        return to_json_response(document)

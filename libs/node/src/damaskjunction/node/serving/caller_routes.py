"""HTTP routes for callers: host addresses, generation and plain service calls."""

from __future__ import annotations

import asyncio
import json
import logging
import uuid
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any

from damaskjunction.core import (
    Outcome,
    RequestError,
    ServiceKind,
    ServiceSpec,
    WorkClass,
    WorkspaceName,
    rendezvous_order,
)
from damaskjunction.http import (
    EVENT_STREAM_TYPE,
    Event,
    HttpError,
    Request,
    Response,
    Routes,
    encode_event,
    read_json,
    request_error_document,
    to_json_response,
)
from damaskjunction.node.serving.caller_request import CallerRequest, read_plain_answer
from damaskjunction.node.serving.claims import CallClaims
from damaskjunction.node.serving.metering import RequestRunner
from damaskjunction.node.state import HostView
from damaskjunction.routing import AnswerPart, PlainAnswer, StreamEnd, Token, bearer_key

logger = logging.getLogger(__name__)

ADDRESSES_TTL_S = 5
MAX_ADDRESSES = 3
DEFAULT_MAX_TOKENS = 64
ENGINE_PATH = "/v1/generate"
JSON_TYPE = "application/json"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MAX_KEY_CHARACTERS = 256
READY_TIMEOUT_S = 3.0


def authenticate(view: HostView, request: Request) -> WorkspaceName:
    """Return the workspace of the key in ``Authorization: Bearer``.

    Raises
    ------
    HttpError
        503 when the host has no configuration yet, 401 for a missing or unknown key.
    """
    if not view.is_ready:
        raise HttpError(503, "no_configuration", "this host has no configuration yet")
    key = bearer_key(request.headers.get("authorization", ""))
    workspace = view.workspace_of_key(key)
    if workspace is None:
        raise HttpError(401, "unknown_key", "send 'Authorization: Bearer <key>'")
    return workspace


class CallerRoutes:
    """HTTP routes for callers of one host.

    Parameters
    ----------
    view : HostView
        Known services, workspaces and hosts.
    entry : RequestRunner
        Forwards requests to runners.
    claims : CallClaims
        Runs calls that have an idempotency key.
    """

    def __init__(
        self, view: HostView, entry: RequestRunner, claims: CallClaims
    ) -> None:
        self._view = view
        self._entry = entry
        self._claims = claims
        self._ready = asyncio.Event()
        view.subscribe(self._check_ready)

    def register(self, routes: Routes) -> None:
        """Register the routes."""
        routes.register("GET", "/v1/addresses")(self.addresses)
        routes.register("POST", "/v1/services/{service}/generate")(self.generate)
        routes.register("POST", "/v1/services/{service}/call/{path:path}")(self.call)

    async def addresses(self, request: Request) -> Response:
        """Return the host addresses a caller should use, and their time to live.

        Hosts of the data centre in the query, by default this host's, come first.
        Rendezvous hashing of the caller's name spreads callers over the hosts.
        """
        if not self._view.is_ready:
            raise HttpError(503, "no_configuration")
        data_centre = request.query.get("data_centre", self._view.own.data_centre)
        hosts = {host.host_id: host for host in self._view.serving_hosts()}
        caller = request.query.get("caller", uuid.uuid4().hex)
        order = rendezvous_order(caller, [(host_id, 1.0) for host_id in hosts])
        order.sort(key=lambda host_id: hosts[host_id].data_centre != data_centre)
        chosen = [str(hosts[host_id].caller) for host_id in order[:MAX_ADDRESSES]]
        document = {"addresses": chosen, "ttl_s": ADDRESSES_TTL_S}
        return to_json_response(document)

    async def generate(self, request: Request, service: str) -> Response:
        """Stream the answer of an engine as server-sent events."""
        await self._wait_until_ready()
        workspace = authenticate(self._view, request)
        spec = self._find_service(service, ServiceKind.ENGINE)
        document = validate_generate_request(await read_json(request))
        call = CallerRequest(
            request_id=uuid.uuid4().hex,
            service=service,
            workspace=workspace,
            work_class=WorkClass.ONLINE,
            deadline_s=float(document.pop("deadline_s", spec.deadline_s)),
            idempotent=True,
            path=ENGINE_PATH,
            content_type=JSON_TYPE,
            body=json.dumps(document).encode(),
            prompt=document["prompt"],
        )
        messages = self._entry.run(call)
        first = await anext(messages)
        headers = {"Request-Id": call.request_id}
        return Response(
            200, _encode_events(first, messages), EVENT_STREAM_TYPE, headers
        )

    async def call(self, request: Request, service: str, path: str) -> Response:
        """Forward a call to a plain service and return its response."""
        await self._wait_until_ready()
        workspace = authenticate(self._view, request)
        spec = self._find_service(service, ServiceKind.PLAIN)
        target = f"/{path}"
        call = CallerRequest(
            request_id=uuid.uuid4().hex,
            service=service,
            workspace=workspace,
            work_class=WorkClass.ONLINE,
            deadline_s=spec.deadline_s,
            idempotent=is_idempotent(spec, target),
            path=target,
            content_type=request.headers.get("content-type", JSON_TYPE),
            body=await request.body.read(),
        )
        answer = await self._run_call(
            call, request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        )
        headers = {"Request-Id": call.request_id}
        return Response(answer.status, answer.body, answer.content_type, headers)

    async def _run_call(self, call: CallerRequest, key: str) -> PlainAnswer:
        """Return the answer to a call.

        Only a call that is not idempotent and has a key is claimed, so that it runs at
        most once when it is submitted again.
        """
        if call.idempotent or not key:
            return await read_plain_answer(self._entry.run(call))
        if len(key) > MAX_KEY_CHARACTERS:
            detail = f"at most {MAX_KEY_CHARACTERS} characters are allowed"
            raise HttpError(400, "bad_request", detail, key="Idempotency-Key")
        return await self._claims.run(call, key)

    async def _wait_until_ready(self) -> None:
        """Wait up to ``READY_TIMEOUT_S`` for the first configuration after a start.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the host still has no configuration.
        """
        if self._view.is_ready:
            return
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._ready.wait()
        except TimeoutError:
            detail = "this host has no configuration yet"
            raise RequestError(
                Outcome.NOT_RUN, "no_configuration", detail, retry_after_s=1.0
            ) from None

    def _check_ready(self) -> None:
        if self._view.is_ready:
            self._ready.set()

    def _find_service(self, name: str, kind: ServiceKind) -> ServiceSpec:
        spec = self._view.configuration.services_by_name.get(name)
        if spec is None:
            raise HttpError(404, "no_such_service", f"no service is called {name!r}")
        if spec.kind is not kind:
            detail = f"{name!r} is of kind {spec.kind.value}, not {kind.value}"
            raise HttpError(409, "wrong_kind", detail)
        return spec


def is_idempotent(spec: ServiceSpec, path: str) -> bool:
    """Return whether a call to a path is idempotent.

    The longest matching prefix among the configured calls decides; a path without one
    is idempotent.
    """
    matching = [call for call in spec.calls if path.startswith(call.path)]
    if not matching:
        return True
    return max(matching, key=lambda call: len(call.path)).idempotent


def validate_generate_request(document: Any) -> dict[str, Any]:
    """Validate the document of a generation request; set ``max_tokens`` by default.

    Raises
    ------
    HttpError
        400 when a value is missing or out of range.
    """
    if not isinstance(document, dict):
        raise HttpError(400, "bad_request", "expected a JSON object")
    if not isinstance(document.get("prompt"), str):
        raise HttpError(400, "bad_request", "expected a string", key="prompt")
    n_tokens = document.setdefault("max_tokens", DEFAULT_MAX_TOKENS)
    if not isinstance(n_tokens, int) or not 1 <= n_tokens <= 100_000:
        raise HttpError(400, "bad_request", "expected 1 to 100000", key="max_tokens")
    deadline_s = document.get("deadline_s", 1.0)
    if not isinstance(deadline_s, int | float) or not 0 < deadline_s <= 3600:
        raise HttpError(
            400,
            "bad_request",
            "expected more than 0 and at most 3600 s",
            key="deadline_s",
        )
    return document


async def _encode_events(
    first: AnswerPart, rest: AsyncGenerator[AnswerPart, None]
) -> AsyncGenerator[bytes, None]:
    """Yield an answer as server-sent events; an error becomes the last event."""
    try:
        async with aclosing(rest):
            yield _encode_message(first)
            async for message in rest:
                yield _encode_message(message)
    except RequestError as error:
        yield _encode_error(error)
    except Exception:
        logger.exception("stream failed")
        yield _encode_error(RequestError(Outcome.UNKNOWN, "internal_error"))


def _encode_error(error: RequestError) -> bytes:
    data = json.dumps(request_error_document(error))
    return encode_event(Event("error", data))


def _encode_message(message: AnswerPart) -> bytes:
    match message:
        case Token(_, position, text):
            data = {"position": position, "text": text}
            return encode_event(Event("token", json.dumps(data)))
        case StreamEnd(_, n_tokens):
            return encode_event(Event("end", json.dumps({"n_tokens": n_tokens})))
    raise TypeError(f"no event for {message!r}")

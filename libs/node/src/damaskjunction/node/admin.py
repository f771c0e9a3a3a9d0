"""Routes for operators: configuration, status, dump, metrics and log level."""

from __future__ import annotations

import asyncio
import hmac
import uuid

from damaskjunction.core import (
    ConflictError,
    EntryHost,
    FindingsError,
    PlatformUnavailableError,
    PlatformUnknownError,
    RequestError,
)
from damaskjunction.http import (
    HttpError,
    Request,
    Response,
    Routes,
    read_json,
    to_json_response,
)
from damaskjunction.node.documents import CONFIGURATION_KIND, CONFIGURATION_NAME
from damaskjunction.node.state import HostView
from damaskjunction.platform import ObjectStore
from damaskjunction.settings import read_configuration
from damaskjunction.telemetry import Metrics, StateDump, set_log_level
from damaskjunction.wire import HostStatus, PeerLinks, StatusQuery

CONTROL_LANE = "control"
STATUS_TIMEOUT_S = 2.0
TEXT_TYPE = "text/plain; charset=utf-8"


class Admin:
    """The operators' routes of one host.

    Parameters
    ----------
    view : HostView
        What is in force here.
    store : ObjectStore
        Where the operators' text is kept.
    links : PeerLinks
        Links to other hosts, to ask what is in force there.
    metrics : Metrics
        The process's metrics.
    dump : StateDump
        The process's state dump.
    token : str
        The administration token; empty takes callers without one.
    """

    def __init__(
        self,
        view: HostView,
        store: ObjectStore,
        links: PeerLinks,
        *,
        metrics: Metrics,
        dump: StateDump,
        token: str,
    ) -> None:
        self._view = view
        self._store = store
        self._links = links
        self._metrics = metrics
        self._dump = dump
        self._token = token

    def register(self, routes: Routes) -> None:
        """Enter the operators' routes."""
        routes.register("GET", "/v1/configuration")(self.show_configuration)
        routes.register("PUT", "/v1/configuration")(self.apply_configuration)
        routes.register("GET", "/v1/status")(self.show_status)
        routes.register("GET", "/v1/dump")(self.show_dump)
        routes.register("GET", "/metrics")(self.show_metrics)
        routes.register("PUT", "/v1/log-level")(self.change_log_level)

    def own_status(self) -> HostStatus:
        """Return what is in force on this host."""
        state = "serving" if self._view.is_ready else "waiting"
        return HostStatus(
            self._view.own.host_id,
            self._view.configuration.revision,
            self._view.plan.revision,
            "leaving" if self._view.is_draining else state,
        )

    async def show_configuration(self, request: Request) -> Response:
        """Return the operators' text and its revision."""
        self.authorize(request)
        try:
            stored = await self._store.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
        except PlatformUnavailableError as error:
            raise HttpError(503, "platform_unavailable", str(error)) from None
        if stored is None:
            raise HttpError(404, "no_configuration", "no text was applied yet")
        headers = {"Revision": str(stored.version)}
        return Response(200, stored.value, TEXT_TYPE, headers)

    async def apply_configuration(self, request: Request) -> Response:
        """Check a text and store it when the revision is the expected one."""
        self.authorize(request)
        text = (await request.body.read()).decode(errors="replace")
        source = request.query.get("source", "text")
        editor = request.query.get("editor", "unknown")
        try:
            read_configuration(text, source)
        except FindingsError as error:
            findings = [str(finding) for finding in error.findings]
            raise HttpError(422, "findings", findings=findings) from None
        expected = int(request.headers.get("if-match", "0"))
        revision = await self._store_text(text, expected, editor)
        return to_json_response({"revision": revision})

    async def _store_text(self, text: str, expected: int, editor: str) -> int:
        try:
            return await self._store.put(
                CONFIGURATION_KIND,
                CONFIGURATION_NAME,
                text.encode(),
                expected_version=expected,
                operation_id=f"{editor}/{uuid.uuid4().hex}",
            )
        except ConflictError as error:
            other = error.operation_id.partition("/")[0]
            detail = f"the text is at revision {error.version}, by {other!r}"
            raise HttpError(
                409, "conflict", detail, revision=error.version, editor=other
            ) from None
        except PlatformUnavailableError as error:
            raise HttpError(503, "not_accepted", str(error)) from None
        except PlatformUnknownError as error:
            raise HttpError(504, "acceptance_unknown", str(error)) from None

    async def show_status(self, request: Request) -> Response:
        """Tell what is in force on every host of the view."""
        self.authorize(request)
        hosts = sorted(self._view.fleet.hosts_by_id.values())
        statuses = await asyncio.gather(*(self._status_of(host) for host in hosts))
        document = {
            "revision": self._view.configuration.revision,
            "hosts": [status._asdict() for status in statuses],
            "assignments": {
                runner_id: assignment.service
                for runner_id, assignment in sorted(
                    self._view.plan.assignments_by_runner.items()
                )
            },
        }
        return to_json_response(document)

    async def _status_of(self, host: EntryHost) -> HostStatus:
        if host.host_id == self._view.own.host_id:
            return self.own_status()
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                status = await self._links.ask(host.peer, CONTROL_LANE, StatusQuery())
        except (RequestError, TimeoutError):
            return HostStatus(host.host_id, 0, 0, "unreachable")
        assert isinstance(status, HostStatus)
        return status

    async def show_dump(self, request: Request) -> Response:
        """Return the state of this process."""
        self.authorize(request)
        return to_json_response(self._dump.to_document())

    async def show_metrics(self, request: Request) -> Response:
        """Return the metrics of this process."""
        return Response(200, self._metrics.to_page().encode(), TEXT_TYPE)

    async def change_log_level(self, request: Request) -> Response:
        """Change the level of logs."""
        self.authorize(request)
        document = await read_json(request)
        try:
            set_log_level(str(document["level"]))
        except (KeyError, TypeError, ValueError) as error:
            raise HttpError(400, "bad_request", str(error), key="level") from None
        return to_json_response(document)

    def authorize(self, request: Request) -> None:
        """Return for a request with the administration token.

        Raises
        ------
        HttpError
            With status 401 for any other.
        """
        if not self._token:
            return
        _, _, given = request.headers.get("authorization", "").partition(" ")
        if not hmac.compare_digest(given.encode(), self._token.encode()):
            detail = "send 'Authorization: Bearer <administration token>'"
            raise HttpError(401, "not_authorized", detail)

"""JSON documents of the API under ``/v1/``, and their conversion to typed values."""

from __future__ import annotations

import json
from typing import NotRequired, TypedDict

from damaskjunction.core import Address, EntryHost, HostState, Runner, ServiceKind
from damaskjunction.platform.types import HostList


class EntryHostDocument(TypedDict):
    """Entry host in the host list."""

    host_id: str
    region: str
    data_centre: str
    caller: str
    peer: str
    probe: str
    state: NotRequired[str]


class RunnerDocument(TypedDict):
    """Runner (backend server) in the host list."""

    runner_id: str
    region: str
    data_centre: str
    address: str
    kind: str
    service: NotRequired[str]
    accelerators: NotRequired[int]
    slots: NotRequired[int]
    state: NotRequired[str]


class HostListDocument(TypedDict):
    """Host list with its revision."""

    revision: int
    hosts: list[EntryHostDocument]
    runners: list[RunnerDocument]


class ObjectDocument(TypedDict):
    """Object in a list or watch response; ``value`` is UTF-8 text."""

    name: str
    version: int
    value: str
    operation_id: str


def entry_host_from_document(document: EntryHostDocument) -> EntryHost:
    """Decode an entry host."""
    return EntryHost(
        host_id=document["host_id"],
        region=document["region"],
        data_centre=document["data_centre"],
        caller=Address.from_text(document["caller"]),
        peer=Address.from_text(document["peer"]),
        probe=Address.from_text(document["probe"]),
        state=HostState(document.get("state", "live")),
    )


def entry_host_to_document(host: EntryHost) -> EntryHostDocument:
    """Encode an entry host."""
    return {
        "host_id": host.host_id,
        "region": host.region,
        "data_centre": host.data_centre,
        "caller": str(host.caller),
        "peer": str(host.peer),
        "probe": str(host.probe),
        "state": host.state.value,
    }


def runner_from_document(document: RunnerDocument) -> Runner:
    """Decode a runner."""
    return Runner(
        runner_id=document["runner_id"],
        region=document["region"],
        data_centre=document["data_centre"],
        address=Address.from_text(document["address"]),
        kind=ServiceKind(document["kind"]),
        service=document.get("service", ""),
        accelerators=document.get("accelerators", 1),
        slots=document.get("slots", 8),
        state=HostState(document.get("state", "live")),
    )


def runner_to_document(runner: Runner) -> RunnerDocument:
    """Encode a runner."""
    return {
        "runner_id": runner.runner_id,
        "region": runner.region,
        "data_centre": runner.data_centre,
        "address": str(runner.address),
        "kind": runner.kind.value,
        "service": runner.service,
        "accelerators": runner.accelerators,
        "slots": runner.slots,
        "state": runner.state.value,
    }


def encode_host_list(hosts: HostList) -> bytes:
    """Serialize a host list to JSON; equal lists give identical bytes."""
    document: HostListDocument = {
        "revision": hosts.revision,
        "hosts": [entry_host_to_document(host) for host in hosts.hosts],
        "runners": [runner_to_document(runner) for runner in hosts.runners],
    }
    return json.dumps(document).encode()


def decode_host_list(body: bytes) -> HostList:
    """Parse a host list from JSON."""
    document: HostListDocument = json.loads(body)
    return HostList(
        document["revision"],
        tuple(entry_host_from_document(entry) for entry in document["hosts"]),
        tuple(runner_from_document(entry) for entry in document["runners"]),
    )

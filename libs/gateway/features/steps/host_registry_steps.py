"""Steps on the registration of a host in the store."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from fake_homes import make_host
from fake_store import FakeStore
from fleet_helpers import run

from damaskjunction.gateway.store import host_registry
from damaskjunction.gateway.store.host_registry import HOSTS_KIND, HostRegistry
from damaskjunction.platform import ObjectChange

OWN = "own"
RETRY_S = 0.01


def make_registry(context):
    patch = mock.patch.object(host_registry, "REGISTER_RETRY_S", RETRY_S)
    patch.start()
    context.add_cleanup(patch.stop)
    context.store = FakeStore()
    membership = SimpleNamespace(apply_host_list=lambda hosts: None)
    view = SimpleNamespace(apply_powers=lambda powers: None)
    own = make_host(7, OWN)
    context.registry = HostRegistry(context.store, own, membership, view, 2.0)


def find_entry(context):
    return context.store.find(HOSTS_KIND, OWN)


def is_right(context):
    stored = find_entry(context)
    return stored is not None and stored.content["caller"] == "10.0.0.7:1"


async def wait_until_right(context):
    for _ in range(100):
        if is_right(context):
            return
        await asyncio.sleep(RETRY_S)


@given("the store has an entry of the host with another address")
def make_other_entry(context):
    make_registry(context)
    run(context, context.store.create(HOSTS_KIND, OWN, {"caller": "10.0.0.1:1"}))


@given("the store goes away when the host has read it")
def go_away_later(context):
    async def pass_first_call():
        context.store.before_call = go_away

    async def go_away():
        context.store.before_call = None
        context.store.is_away = True

    context.store.before_call = pass_first_call


@when("the host registers and the store comes back")
def register_over_outage(context):
    async def work():
        await context.registry.start()
        await asyncio.sleep(5 * RETRY_S)
        assert context.store.is_away
        context.store.is_away = False
        await wait_until_right(context)

    run(context, work())


@given("the host is registered")
def register(context):
    make_registry(context)

    async def work():
        await context.registry.start()
        await wait_until_right(context)
        context.registry.state.replace_all((find_entry(context),), 1)

    run(context, work())


def tell_removal(context):
    """Remove the entry, and let the host learn that from its watch."""
    removed = context.store.hide(HOSTS_KIND, OWN)
    context.registry.state.apply_changes((ObjectChange(removed, True),), 2)


@when("the entry is removed by the former process of the host")
def remove_entry(context):
    async def work():
        tell_removal(context)
        await wait_until_right(context)

    run(context, work())


@when("the host deregisters")
def deregister(context):
    async def work():
        with mock.patch.object(context.store, "delete", create=True) as delete:
            delete.side_effect = lambda kind, name: asyncio.sleep(0)
            await context.registry.deregister()
        tell_removal(context)
        await wait_until_right(context)

    run(context, work())


@then("the entry has the address of the host")
def check_entry(context):
    assert is_right(context), find_entry(context)


@then("the store has no entry of the host")
def check_no_entry(context):
    assert find_entry(context) is None

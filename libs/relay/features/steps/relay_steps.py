"""Steps for connections to runners through other hosts."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from relay_fleet import HALF, REST, RelayFleet

from damaskjunction.http import BrokenResponseError
from damaskjunction.relay import RunnerUnreachableError
from damaskjunction.routing import Reach, RunnerVerdict
from damaskjunction.standins import Mode

FRAMINGS = {
    "sends half of an answer without length, and goes on to live": "half",
    "ends its answers with the connection": "connection",
    "pauses in the middle of answers": "pause",
    "resets its connection in the middle of an answer without length": "reset",
}
CUT_HOSTS = {
    '"h0" is cut off': ("h0",),
    '"h0" and "h1" are cut off': ("h0", "h1"),
}
SILENT_HOSTS = {
    '"h2" does not answer': ("h2",),
    "the others do not answer": ("h1", "h2"),
}
ENDED_RUNNERS = {'"r0" has ended': ("r0",), "all have ended": ("r0", "r1")}
MAX_TRIES = 200


def run(context, coroutine):
    async def with_timeout():
        async with asyncio.timeout(20):
            return await coroutine

    return context.asyncio_runner.run(with_timeout())


async def request(host, address):
    """Return an answer's body, or the name of the error."""
    try:
        response = await host.client.send(address, "GET", "/x", stall_s=2.0)
        return await response.read()
    except (BrokenResponseError, RunnerUnreachableError) as error:
        return error


async def timed_request(host, address):
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    return await request(host, address), loop.time() - began_at_s


@given('hosts "{hosts}" and the runners "{runners}"')
def start_fleet(context, hosts, runners):
    async def start():
        context.fleet = RelayFleet(hosts.split(","), runners.split(","))
        await context.fleet.start()

    run(context, start())


@given('"{name}" is cut off from the runners, whose connections are {shape}')
def cut_host(context, name, shape):
    is_reach = shape in set(Reach)
    context.fleet.hosts[name].path.shape = Reach(shape) if is_reach else shape


@when('"{name}" reaches the runners again')
def heal_host(context, name):
    context.fleet.hosts[name].path.shape = None


@given('"{name}" {framing}')
def set_framing(context, name, framing):
    context.fleet.runners[name].framing = FRAMINGS[framing]


@given('no host lists "{name}" any more')
def unlist(context, name):
    context.fleet.listed.discard(context.fleet.address(name))


@when('"{name}" sends {count:d} requests to "{runner}"')
def send_requests(context, name, count, runner):
    async def send():
        host, address = context.fleet.hosts[name], context.fleet.address(runner)
        return [await timed_request(host, address) for _ in range(count)]

    context.answers = run(context, send())


@then('"{name}" has {count:d} whole answers, none later than {bound_s:g} s')
def check_answers(context, name, count, bound_s):
    assert [body for body, _ in context.answers] == [HALF + REST] * count, (
        context.answers
    )
    assert max(took_s for _, took_s in context.answers) <= bound_s, context.answers


@then('the path from "{name}" to "{runner}" is cut')
def check_cut(context, name, runner):
    async def wait():
        document = context.fleet.hosts[name].access.to_document
        address = str(context.fleet.address(runner))
        while address not in document()["cut"]:  # noqa: ASYNC110 - state of a host
            await asyncio.sleep(0.01)

    run(context, wait())


@then('after some requests of "{name}" to "{runner}" its path is whole')
def check_healed(context, name, runner):
    async def send():
        host, address = context.fleet.hosts[name], context.fleet.address(runner)
        for _ in range(MAX_TRIES):
            assert await request(host, address) == HALF + REST
            if not host.access.to_document()["cut"]:
                return
            await asyncio.sleep(0.02)
        raise AssertionError("the path is still cut")

    run(context, send())


@then("no host has relayed a connection")
def check_no_relay(context):
    for host in context.fleet.hosts.values():
        assert "relayed_connections" not in host.metrics.to_text()


@when('"{name}" sends 1 requests to "{runner}" and its relay ends before the answer')
def end_relay(context, name, runner):
    async def send():
        fleet = context.fleet
        host, address = fleet.hosts[name], fleet.address(runner)
        response = await host.client.send(address, "GET", "/x", stall_s=2.0)
        chunks = response.chunks()
        assert await anext(chunks) == HALF
        for other in fleet.hosts.values():
            if other is not host:
                await other.server.close()
        try:
            return [chunk async for chunk in chunks]
        except BrokenResponseError as error:
            return error

    context.answers = [(run(context, send()), 0.0)]


@when(
    '"{name}" sends 1 requests to "{runner}" and its relay is silent for {still_s:g} s '
    "in the middle of the answer"
)
def silence_relay(context, name, runner, still_s):
    async def send():
        fleet = context.fleet
        host, address = fleet.hosts[name], fleet.address(runner)
        await fleet.put_proxies_before_peers()
        response = await host.client.send(address, "GET", "/x", stall_s=2.0)
        chunks = response.chunks()
        assert await anext(chunks) == HALF
        rest = asyncio.ensure_future(read_rest(chunks))
        for proxy in fleet.proxies:
            proxy.set_mode(Mode.PAUSED)
        await asyncio.sleep(still_s)
        assert not rest.done()
        for proxy in fleet.proxies:
            proxy.set_mode(Mode.PASS)
        assert sum(proxy.n_accepted for proxy in fleet.proxies) == 1
        return await rest

    async def read_rest(chunks):
        try:
            return HALF + b"".join([chunk async for chunk in chunks])
        except BrokenResponseError as error:
            return error

    async def timed():
        began_at_s = asyncio.get_running_loop().time()
        return await send(), asyncio.get_running_loop().time() - began_at_s

    context.answers = [run(context, timed())]


@then('the answer of "{name}" broke off')
def check_broken(context, name):
    ((answer, _),) = context.answers
    assert isinstance(answer, BrokenResponseError), answer


@when('"{name}" gives up a request to "{runner}" in the middle of its answer')
def give_up(context, name, runner):
    async def send():
        host, address = context.fleet.hosts[name], context.fleet.address(runner)
        response = await host.client.send(address, "GET", "/x", stall_s=2.0)
        assert await anext(response.chunks()) == HALF
        context.fleet.runners[runner].ended.clear()
        response.close()

    run(context, send())


@then('"{runner}" sees the end of its connection within {bound_s:g} s')
def check_runner_end(context, runner, bound_s):
    async def wait():
        async with asyncio.timeout(bound_s):
            await context.fleet.runners[runner].ended.wait()

    run(context, wait())


@then('"{name}" has no answer, and the runner\'s state is unknown')
def check_unreachable(context, name):
    ((answer, _),) = context.answers
    assert isinstance(answer, RunnerUnreachableError), answer
    assert answer.verdict is RunnerVerdict.UNKNOWN, answer


@when(
    '"{name}" keeps {count:d} requests to "{runner}" open, while each host relays'
    " {limit:d} at once"
)
def keep_open(context, name, count, runner, limit):
    async def send():
        host, address = context.fleet.hosts[name], context.fleet.address(runner)
        for other in context.fleet.hosts.values():
            other.access.tunnel_server.max_tunnels = limit
        context.begun = []
        for _ in range(count):
            try:
                response = await host.client.send(address, "GET", "/x", stall_s=2.0)
            except RunnerUnreachableError:
                continue
            context.begun.append(response)

    run(context, send())


@then("{count:d} of its requests have an answer that has begun")
def check_begun(context, count):
    assert len(context.begun) == count, context.begun


@given("that {cut}, while {runner}")
def set_scene(context, cut, runner):
    hosts = context.fleet.hosts
    for name in CUT_HOSTS.get(cut, ()):
        hosts[name].path.shape = Reach.REFUSED
    for name in SILENT_HOSTS.get(cut, ()):
        run(context, hosts[name].server.close())
    for name in ENDED_RUNNERS.get(runner, ()):
        context.fleet.runners[name].close()


@then('"{name}" diagnoses "{runner}" as {verdict}')
def check_diagnosis(context, name, runner, verdict):
    diagnosis = context.fleet.hosts[name].access.diagnosis
    found = run(context, diagnosis.diagnose(context.fleet.address(runner)))
    assert found is RunnerVerdict(verdict), found


@when('"{runner}" ends')
def end_runner(context, runner):
    context.fleet.runners[runner].close()


@when('"{runner}" ends {delay_s:g} s after "{name}" began to diagnose it')
def end_during_diagnosis(context, runner, delay_s, name):
    async def work():
        diagnosis = context.fleet.hosts[name].access.diagnosis
        address = context.fleet.address(runner)
        context.earlier = asyncio.ensure_future(diagnosis.diagnose(address))
        await asyncio.sleep(delay_s)
        context.fleet.runners[runner].close()

    run(context, work())


@then('"{runner}" may have ended, as "{name}" sees it')
def check_may_have_ended(context, runner, name):
    diagnosis = context.fleet.hosts[name].access.diagnosis
    assert run(context, diagnosis.may_have_ended(context.fleet.address(runner)))


@given('no host reaches "{name}", whose connections are silent')
def silence_runner(context, name):
    address = context.fleet.address(name)
    for host in context.fleet.hosts.values():
        host.path.silent_addresses.add(address)


@then("all {count:d} have failed for want of a way")
def check_all_unreachable(context, count):
    answers = [answer for answer, _ in context.answers]
    assert len(answers) == count, answers
    assert all(isinstance(a, RunnerUnreachableError) for a in answers), answers

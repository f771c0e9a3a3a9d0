"""Steps on the keepalive of a connection, on a clock that jumps."""

from __future__ import annotations

from types import SimpleNamespace

from behave import given, then, when

from damaskjunction.core import ManualTimers
from damaskjunction.wire.channel import PING_INTERVAL_S, Channel


class JumpingTimers(ManualTimers):
    """Timers of a process that stands still now and then."""

    def jump(self, duration_s):
        """Stand still; what fell due meanwhile is called once afterwards."""
        for _, _, subscription in self._pending:
            subscription.is_cancelled = True
        self._now_s += duration_s
        subscription.callback()
        self.every(PING_INTERVAL_S, subscription.callback)


@given("a connection with keepalive whose peer answers")
def make_channel(context):
    context.timers = JumpingTimers()
    context.is_aborted = False

    def abort():
        context.is_aborted = True

    transport = SimpleNamespace(abort=abort)
    writer = SimpleNamespace(write=lambda data: None, transport=transport)
    context.channel = Channel(None, writer, context.timers, lambda frame: None)
    context.channel.start_keepalive()
    context.timers.advance(2 * PING_INTERVAL_S)
    context.channel._record_pong()


@when("this process stands still for {duration_s:g} s")
def stand_still(context, duration_s):
    context.timers.jump(duration_s)


@when("the peer is silent for {duration_s:g} s")
def pass_time(context, duration_s):
    context.timers.advance(duration_s)


@then("the connection is kept")
def check_kept(context):
    assert not context.is_aborted


@then("the connection is aborted")
def check_aborted(context):
    assert context.is_aborted

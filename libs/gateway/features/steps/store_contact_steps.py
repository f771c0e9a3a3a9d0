"""Steps of the feature on what a host knows of outages of the store."""

from __future__ import annotations

from behave import given, then, when
from fake_homes import make_host

from damaskjunction.core import ManualTimers
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.store.store_contact import StoreContact
from damaskjunction.node import HostView
from damaskjunction.platform import ObjectChange, PlatformObject
from damaskjunction.routing import LeavingRunners

RUNNER = "r1"
ANSWER_INTERVAL_S = 0.4
STEP_S = 0.1


class Rig:
    """A host's serving state whose store answers, or whose source sends heartbeats."""

    def __init__(self):
        self.timers = ManualTimers(start_s=100.0)
        self.contact = StoreContact(self.timers)
        self.state = ServingState(
            HostView(make_host(1, "h1")),
            self.timers,
            {},
            LeavingRunners(),
            self.contact,
        )
        self.record_contact = self.contact.record_answer
        self.is_away = False
        self.timers.every(ANSWER_INTERVAL_S, self._record)
        self.revision = 1
        self.put("ready")

    def _record(self):
        if not self.is_away:
            self.record_contact()

    def _apply(self, content, *, is_removed=False):
        self.revision += 1
        stored = PlatformObject("servers", RUNNER, self.revision, content)
        self.state.apply_runner_change(ObjectChange(stored, is_removed))

    def put(self, state):
        entry = {"Service": "llm", "Addr": "10.0.0.9:80", "Zone": "z1", "State": state}
        self._apply({**entry, "Version": 1, "Slots": 8, "born": 1})

    def remove(self):
        self._apply({}, is_removed=True)

    def knows_runner(self):
        return RUNNER in self.state.view.fleet.runners_by_id

    def pass_time(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.timers.advance(STEP_S)

    def fall_silent(self, duration_s, *, is_failing=True):
        """Let the time pass without contact, up to the first sign of it."""
        self.is_away = True
        if is_failing:
            self.contact.record_failure()
        self.pass_time(duration_s)
        self.is_away = False


@given("a host that knows a runner, and a store that answers it every 0.4 s")
def make_rig(context):
    context.rig = Rig()
    context.rig.pass_time(10.0)


@given("the runner has reported that it leaves")
def drain(context):
    context.rig.put("draining")


@given("the host reads the changes from another host")
def read_from_other(context):
    context.rig.record_contact = context.rig.contact.record_heartbeat
    context.rig.pass_time(5.0)


@when("the store answers nothing for {duration_s:g} s")
def lose_store(context, duration_s):
    rig = context.rig
    rig.record_contact()
    rig.fall_silent(duration_s)
    rig.record_contact()


@when("the host hears nothing for {silence_s:g} s, and sees no call of the store fail")
def stand_still(context, silence_s):
    rig = context.rig
    rig.record_contact()
    rig.fall_silent(silence_s, is_failing=False)
    rig.record_contact()


@when("it hears nothing for {silence_s:g} s, and the other host tells of {outage}")
def hear_of_outage(context, silence_s, outage):
    ages_s = {
        "no outage": None,
        "an outage that ended just now": 0.0,
        "an outage that ended 1 s ago": 1.0,
        "an outage that ended 9 s ago": 9.0,
    }
    rig = context.rig
    rig.record_contact()
    rig.fall_silent(silence_s)
    rig.contact.record_news(ages_s[outage])


@when("the entry is gone {delay_s:g} s after that")
def remove_entry(context, delay_s):
    context.rig.pass_time(delay_s)
    context.rig.remove()


@when("the entry is back {delay_s:g} s later")
def return_entry(context, delay_s):
    context.rig.pass_time(delay_s)
    context.rig.put("ready")


@then("the runner is known for {kept_s:g} s more")
def check_kept(context, kept_s):
    rig = context.rig
    if kept_s:
        rig.pass_time(kept_s - STEP_S)
        assert rig.knows_runner()
        rig.pass_time(2 * STEP_S)
    assert not rig.knows_runner()


@then("the runner is still known {delay_s:g} s later")
def check_known(context, delay_s):
    context.rig.pass_time(delay_s)
    assert context.rig.knows_runner()

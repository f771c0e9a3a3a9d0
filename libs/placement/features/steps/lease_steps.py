"""Steps for the lease: simulated hosts that share one stored lease object."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from damaskjunction.placement import ReadLease, RegionLease, WriteLease

STEP_S = 0.2


class SimulatedPlatform:
    """Simulated store of the lease object, with an outage that tests switch on."""

    def __init__(self):
        self.version = 0
        self.holder = ""
        self.is_down = False
        self.n_calls = 0


class SimulatedHost:
    """Simulated host; its writes may be delayed or their responses lost."""

    def __init__(self, name):
        self.name = name
        self.lease = RegionLease(name)
        self.is_stopped = False
        self.is_paused = False
        self.loses_response = False
        self.delayed = None  # (steps left, the write or None) while a delay is injected
        self.log = []
        self.rank = 0

    def step(self, now_s, platform):
        if self.is_stopped or self.is_paused:
            return
        action = self.lease.next_action(now_s, rank=self.rank)
        if action is None:
            return
        platform.n_calls += 1
        if platform.is_down:
            self.lease.record_unavailable(now_s)
        elif isinstance(action, ReadLease):
            self.log.append("read")
            self.lease.record_read(now_s, platform.version, platform.holder)
        else:
            self._write(now_s, platform, action)

    def _write(self, now_s, platform, action):
        if self.delayed is not None:
            delay, _ = self.delayed
            self.delayed = (delay, action)
            self.lease.invalidate()
            return
        is_current = platform.version == action.expected_version
        if is_current:
            self.apply(platform, action)
        if self.loses_response:
            self.loses_response = False
            self.log.append("lost")
            self.lease.invalidate()
        elif is_current:
            self.log.append("write")
            if action.holder:
                self.lease.record_write(now_s, platform.version)
        else:
            self.lease.record_conflict(now_s, platform.version, platform.holder)

    def apply(self, platform, action):
        if platform.version == action.expected_version:
            platform.version += 1
            platform.holder = action.holder

    def deliver_delayed(self, platform):
        """Apply the delayed write once its delay has passed."""
        if self.delayed is None:
            return
        delay, action = self.delayed
        if delay > 0:
            self.delayed = (delay - 1, action)
            return
        self.delayed = None
        if isinstance(action, WriteLease):
            self.apply(platform, action)


class SimulatedHosts:
    """Simulated hosts that advance in lockstep, with checks after each step."""

    def __init__(self, names):
        self.platform = SimulatedPlatform()
        self.hosts = {name: SimulatedHost(name) for name in names}
        for rank, host in enumerate(self.hosts.values()):
            host.rank = rank
        self.now_s = 100.0
        self.fencing_tokens = []
        self.gap_s = 0.0
        self.longest_gap_s = 0.0

    def run(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            for host in self.hosts.values():
                host.step(self.now_s, self.platform)
                host.deliver_delayed(self.platform)
            self.check_holders()

    def acting_hosts(self):
        return [
            host.name
            for host in self.hosts.values()
            if not host.is_stopped and host.lease.may_act(self.now_s)
        ]

    def check_holders(self):
        acting_hosts = self.acting_hosts()
        assert len(acting_hosts) <= 1, acting_hosts
        if acting_hosts:
            self.fencing_tokens.append(self.hosts[acting_hosts[0]].lease.fence)
        self.gap_s = 0.0 if acting_hosts else self.gap_s + STEP_S
        self.longest_gap_s = max(self.longest_gap_s, self.gap_s)


@given('hosts "{names}" and no lease')
def make_hosts(context, names):
    context.hosts = SimulatedHosts(names.split(","))


@given('hosts "{names}" and a lease held by "{holder}"')
def make_hosts_with_lease(context, names, holder):
    make_hosts(context, names)
    hosts = context.hosts
    hosts.hosts[holder].step(hosts.now_s, hosts.platform)
    hosts.hosts[holder].step(hosts.now_s, hosts.platform)
    hosts.run(2.0)
    assert hosts.acting_hosts() == [holder]
    hosts.longest_gap_s = 0.0


@given("{count:d} hosts and a lease held by one of them")
def make_many_hosts(context, count):
    make_hosts_with_lease(
        context, ",".join(f"host-{number}" for number in range(count)), "host-0"
    )
    context.hosts.platform.n_calls = 0


@then("{duration_s:g} s pass")
@when("{duration_s:g} s pass")
def pass_time(context, duration_s):
    context.duration_s = duration_s
    context.hosts.run(duration_s)


@when('"{name}" is killed')
def kill(context, name):
    context.hosts.hosts[name].is_stopped = True


@when('"{name}" is paused')
def pause(context, name):
    context.hosts.hosts[name].is_paused = True


@when('"{name}" resumes')
def resume(context, name):
    context.hosts.hosts[name].is_paused = False


@when('"{name}" drains')
def drain(context, name):
    host = context.hosts.hosts[name]
    host.apply(context.hosts.platform, host.lease.release())
    host.is_stopped = True


@when("the platform is {state}")
def set_platform(context, state):
    context.hosts.platform.is_down = state == "down"


@when('the next write of "{name}" takes effect but its response is lost')
def lose_response(context, name):
    host = context.hosts.hosts[name]
    host.loses_response = True
    host.log.clear()


@then("one host may act")
def check_one_holder(context):
    assert len(context.hosts.acting_hosts()) == 1, context.hosts.acting_hosts()


@then("no host may act")
def check_no_holder(context):
    assert not context.hosts.acting_hosts()


@then('one host may act, and it is not "{name}"')
def check_other_holder(context, name):
    acting_hosts = context.hosts.acting_hosts()
    assert len(acting_hosts) == 1 and acting_hosts != [name], acting_hosts


@then("no host could act for at least {duration_s:g} s in between")
def check_gap(context, duration_s):
    assert context.hosts.longest_gap_s >= duration_s, context.hosts.longest_gap_s


@then('"{name}" may not act before it has read the lease')
def check_resumed(context, name):
    hosts = context.hosts
    assert not hosts.hosts[name].lease.may_act(hosts.now_s)
    action = hosts.hosts[name].lease.next_action(hosts.now_s)
    assert isinstance(action, ReadLease), action


@then('"{name}" read and then wrote the lease before it could act again')
def check_read_before_write(context, name):
    log = context.hosts.hosts[name].log
    lost = log.index("lost")
    assert log[lost + 1 : lost + 3] == ["read", "write"], log
    assert context.hosts.acting_hosts() == [name]


@then("fencing tokens never decreased")
def check_fencing_tokens(context):
    assert context.hosts.fencing_tokens == sorted(context.hosts.fencing_tokens)


@then("the platform got at most {count:d} calls per second")
def check_calls(context, count):
    rate = context.hosts.platform.n_calls / context.duration_s
    assert rate <= count, rate


FAULTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["run", "kill", "pause", "wake", "lose", "delay", "down", "up", "fence"]
        ),
        strategies.integers(0, 2),
        strategies.integers(0, 40),
    ),
    min_size=3,
    max_size=30,
)


@then("in {count:d} random fault histories at most one host may act at any moment")
def check_histories(context, count):
    @hypothesis_settings(
        max_examples=count, deadline=None, database=None, derandomize=True
    )
    @hypothesis_given(FAULTS)
    def check(history):
        hosts = SimulatedHosts(["a", "b", "c"])
        for fault, number, n_steps in history:
            apply_fault(hosts, list(hosts.hosts.values())[number], fault, n_steps)
            hosts.run(STEP_S * n_steps)
        assert hosts.fencing_tokens == sorted(hosts.fencing_tokens)
        hosts.platform.is_down = False
        for host in hosts.hosts.values():
            host.is_stopped = host.is_paused = False
        hosts.run(20.0)
        assert len(hosts.acting_hosts()) == 1

    check()


def apply_fault(hosts, host, fault, n_steps):
    if fault == "kill":
        host.is_stopped = True
    elif fault in ("pause", "wake"):
        host.is_paused = fault == "pause"
    elif fault == "lose":
        host.loses_response = True
    elif fault == "delay" and host.delayed is None:
        host.delayed = (n_steps, None)
    elif fault in ("down", "up"):
        hosts.platform.is_down = fault == "down"
    elif fault == "fence":
        host.lease.invalidate()

"""Failure detectors of many hosts on a simulated network with a manual clock."""

from __future__ import annotations

import random

from damaskjunction.core import Address, EntryHost, ManualTimers
from damaskjunction.membership import FailureDetector, Send, Timing, first_incarnation
from damaskjunction.wire import encode_message

DELAY_S = 0.001  # of each datagram
N_DATA_CENTRES = 4
MAX_INBOX_DATAGRAMS = 500  # of a frozen host; more are dropped
UDP_HEADER_BYTES = 28  # of IPv4 and UDP


def make_host(number, host_id=""):
    ip = f"10.0.{number // 250}.{number % 250}"
    return EntryHost(
        host_id or f"host-{number:03d}",
        "region",
        f"centre-{number % N_DATA_CENTRES}",
        Address(ip, 7000),
        Address(ip, 7001),
        Address(ip, 7002),
    )


class SimulatedNetwork:
    """Simulates hosts, datagram loss, partitions, and frozen or replaced hosts."""

    def __init__(self, n_hosts, seed):
        self.timers = ManualTimers()
        self.rng = random.Random(seed)
        self.loss_rate = 0.0
        self.blocked_paths = set()
        self.frozen = {}
        self.max_datagram_bytes = 0
        self.n_bytes = 0
        self.detectors_by_id = {}
        self.ids_by_address = {}
        self.hosts = [make_host(number) for number in range(n_hosts)]
        for host in self.hosts:
            self.start(host)

    def start(self, host, *, is_ready=True):
        wall_s = self.timers.wall()
        rng = random.Random(self.rng.random())
        detector = FailureDetector(host, first_incarnation(wall_s), rng)
        self.detectors_by_id[host.host_id] = detector
        self.ids_by_address[host.probe] = host.host_id
        detector.apply_host_list(self.hosts, self.timers.now())
        if is_ready:
            detector.set_active_revisions(1, 1, self.timers.now())
        offset_s = self.rng.random() * Timing().tick_s
        self.timers.once(offset_s, lambda: self._tick(host.host_id, detector))

    def kill(self, host_id):
        detector = self.detectors_by_id.pop(host_id)
        del self.ids_by_address[detector.own.host.probe]

    def freeze(self, host_id):
        self.frozen[host_id] = []

    def resume(self, host_id):
        for delivery in self.frozen.pop(host_id):
            self._deliver(*delivery)

    def leave(self, host_id):
        self._run(host_id, self.detectors_by_id[host_id].leave())

    def publish_host_list(self, hosts):
        for detector in self.detectors_by_id.values():
            detector.apply_host_list(hosts, self.timers.now())

    def block(self, sources, targets):
        self.blocked_paths |= {
            (source, target) for source in sources for target in targets
        }

    def wait_until(self, condition, limit_s):
        begin_s = self.timers.now()
        while not condition():
            if self.timers.now() - begin_s >= limit_s:
                raise AssertionError(f"condition not met within {limit_s} s")
            self.timers.advance(0.1)
        return self.timers.now() - begin_s

    def live_ids(self, viewer):
        hosts = self.detectors_by_id[viewer].fleet_hosts()
        return {host.host_id for host in hosts if host.state.value == "live"}

    def viewers(self):
        return [name for name in self.detectors_by_id if name not in self.frozen]

    def _tick(self, host_id, detector):
        if self.detectors_by_id.get(host_id) is not detector:
            return
        if host_id not in self.frozen:
            self._run(host_id, detector.tick(self.timers.now()))
        self.timers.once(Timing().tick_s, lambda: self._tick(host_id, detector))

    def _run(self, host_id, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self._send(host_id, effect)

    def _send(self, source, effect):
        n_bytes = len(encode_message(effect.datagram))
        self.max_datagram_bytes = max(self.max_datagram_bytes, n_bytes)
        self.n_bytes += n_bytes + UDP_HEADER_BYTES
        target = self.ids_by_address.get(effect.address)
        if target is None or (source, target) in self.blocked_paths:
            return
        if self.rng.random() < self.loss_rate:
            return
        address = self.detectors_by_id[source].own.host.probe
        delivery = (target, effect.datagram, address)
        self.timers.once(DELAY_S, lambda: self._deliver(*delivery))

    def _deliver(self, target, datagram, address):
        if target in self.frozen:
            if len(self.frozen[target]) < MAX_INBOX_DATAGRAMS:
                self.frozen[target].append((target, datagram, address))
        elif target in self.detectors_by_id:
            detector = self.detectors_by_id[target]
            now_s = self.timers.now()
            self._run(target, detector.receive(datagram, address, now_s))

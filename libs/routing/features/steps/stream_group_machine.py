"""Stateful property test: homes store the origins of streams in groups.

The model knows which version began each stream. Writes are lost, lose their answers or
take effect late, homes change, and all hosts die. One such trouble comes in each
``TROUBLE_GAP_S`` at most.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from machine_runs import run_deterministic

from damaskjunction.routing import (
    StoredGroup,
    StreamGroups,
    StreamOrigin,
    stored_origins,
)

SERVICE = "llm"
VERSIONS = ("v1", "v2")
LIFE_S = 14.0
KEPT_S = LIFE_S / 2.0  # beside troubles; no stream lives longer than that
STEP_S = 0.5
TROUBLE_GAP_S = 2.0
N_STEPS = 60

versions = st.sampled_from(VERSIONS)


class UnprovedGroups(StreamGroups):
    """Injected fault: origins that are not proved are stored."""

    def add(self, origin, now_s):
        super().add(origin._replace(is_proved=True), now_s)


class HastyGroups(StreamGroups):
    """Injected fault: groups are written without having been read."""

    def __init__(self, life_s):
        super().__init__(life_s)
        self.observe_groups([])


class NewestGroups(StreamGroups):
    """Injected fault: the group that was written last is opened anew."""

    def _open_next(self, now_s):
        super()._open_next(now_s)
        revisions = self._revisions_by_number
        if revisions:
            self._open_number = max(revisions, key=revisions.get)


class StreamGroupMachine(RuleBasedStateMachine):
    groups_type: type[StreamGroups] = StreamGroups
    is_lost_write_done = False
    is_revision_checked = True

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.trouble_at_s = 0.0
        self.revision = 0
        self.stored_by_number = {}
        self.versions_by_id = {}
        self.began_by_id = {}
        self.acknowledged = set()
        self.known = []
        self.late_writes = []
        self.home = self.groups_type(LIFE_S)

    def may_trouble(self):
        if self.now_s - self.trouble_at_s < TROUBLE_GAP_S:
            return False
        self.trouble_at_s = self.now_s
        return True

    @rule(version=versions)
    def begin_stream(self, version):
        self.begin(version, version, is_proved=True)

    @rule(version=versions, listed=versions)
    def begin_unproved(self, version, listed):
        self.begin(version, listed, is_proved=False)

    def begin(self, version, listed, *, is_proved):
        request_id = f"s{len(self.versions_by_id)}"
        self.versions_by_id[request_id] = version
        origin = StreamOrigin(request_id, SERVICE, listed, "r0", 1, 0.0, is_proved)
        self.began_by_id[request_id] = self.now_s
        self.known.append(origin)
        self.home.add(origin, self.now_s)

    @rule()
    def change_home(self):
        if self.may_trouble():
            self.home = self.groups_type(LIFE_S)
            for origin in self.known:
                age_s = self.now_s - self.began_by_id[origin.request_id]
                self.home.add(origin._replace(age_s=age_s), self.now_s)

    @rule()
    def kill_all(self):
        if self.may_trouble():
            self.known = []
            self.home = self.groups_type(LIFE_S)

    def read(self):
        return [
            StoredGroup(number, revision, version_by_id)
            for number, (revision, version_by_id) in self.stored_by_number.items()
        ]

    @rule()
    def store(self):
        """Let the home write its next group, and get the answer."""
        if not self.home.is_known:
            self.home.observe_groups(self.read())
        write = self.home.next_write(self.now_s)
        if write is None:
            return
        revision = self.put(write)
        if revision:
            self.home.observe_written(write, revision)
            self.acknowledged.update(write.version_by_id)
            return
        current = next((g for g in self.read() if g.number == write.number), None)
        self.home.observe_conflict(write.number, current)

    def put(self, write):
        """Write a group; return its revision, 0 if it had another one."""
        current = self.stored_by_number.get(write.number, (0, {}))[0]
        if current != write.revision and self.is_revision_checked:
            return 0
        self.revision += 1
        self.stored_by_number[write.number] = (self.revision, dict(write.version_by_id))
        return self.revision

    @rule(how=st.sampled_from(("lost", "unanswered", "late")))
    def store_without_answer(self, how):
        if not self.home.is_known or not self.may_trouble():
            return
        write = self.home.next_write(self.now_s)
        if write is None:
            return
        if how == "unanswered":
            self.put(write)
        elif how == "late":
            self.late_writes.append(write)
        if self.is_lost_write_done:
            self.home.observe_written(write, write.revision + 1)

    @rule()
    def execute_late(self):
        if self.late_writes:
            self.put(self.late_writes.pop())

    @rule(version=versions, n_steps=st.integers(1, 12))
    def advance_time(self, version, n_steps):
        """Let streams begin, and the home store them, for a while."""
        for _ in range(n_steps):
            self.now_s += STEP_S
            self.begin_stream(version)
            self.store()
            self.check()

    @rule()
    def check(self):
        origins = stored_origins(SERVICE, self.read())
        for origin in origins:
            truth = self.versions_by_id[origin.request_id]
            found = origin.software_version
            assert found == truth, f"{origin.request_id} of {truth} stored as {found}"
        found_ids = {origin.request_id for origin in origins}
        live = {
            request_id
            for request_id in self.acknowledged
            if self.now_s - self.began_by_id[request_id] < KEPT_S
        }
        assert live <= found_ids, f"{live - found_ids} were stored and are gone"

    @rule(version=versions, how=st.sampled_from(("lost", "unanswered", "late")))
    def begin_without_answer(self, version, how):
        self.store_all()
        self.begin_stream(version)
        self.store_without_answer(how)

    def teardown(self):
        self.store_all()

    @rule()
    def store_all(self):
        """Check that what is known while nothing fails is stored."""
        self.begin_stream(VERSIONS[0])
        request_id = list(self.versions_by_id)[-1]
        for _ in range(3):
            self.store()
        self.check()
        assert request_id in self.acknowledged, f"{request_id} is not stored"
        missing = {
            origin.request_id
            for origin in self.known
            if origin.is_proved
            and self.now_s - self.began_by_id[origin.request_id] < KEPT_S
        } - {origin.request_id for origin in stored_origins(SERVICE, self.read())}
        assert not missing, f"{missing} are known to the home and not stored"


class UnprovedMachine(StreamGroupMachine):
    groups_type = UnprovedGroups


class HastyMachine(StreamGroupMachine):
    groups_type = HastyGroups
    is_revision_checked = False


class NewestMachine(StreamGroupMachine):
    groups_type = NewestGroups


class LostMachine(StreamGroupMachine):
    is_lost_write_done = True


MACHINE_TYPES = {
    "none": StreamGroupMachine,
    "origins that are not proved are stored": UnprovedMachine,
    "groups are overwritten unread, whatever their revision": HastyMachine,
    "the newest group is opened anew": NewestMachine,
    "a write without an answer counts as done": LostMachine,
}


def run_machine(fault, n_examples):
    run_deterministic(MACHINE_TYPES[fault], n_examples, N_STEPS)

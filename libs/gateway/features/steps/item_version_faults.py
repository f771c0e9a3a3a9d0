"""Faults that the property test of the versions of items has to find."""

from __future__ import annotations

from hypothesis.stateful import run_state_machine_as_test
from item_version_machine import FAR_S, N_STEPS, ItemVersionMachine
from random_runs import repeatable

from damaskjunction.gateway.jobs.item_progress import ItemProgress


class UnclearedProgress(ItemProgress):
    """Injected fault: an item that begins afresh keeps its texts."""

    def begin_afresh(self, reason):
        texts = list(self.texts)
        super().begin_afresh(reason)
        self.texts += texts


class AnyVersionProgress(ItemProgress):
    """Injected fault: an item goes on at any version."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.version.check = lambda runner: None

    def version_to_keep(self, service, runners):
        super().version_to_keep(service, runners)
        return ""


class PatientProgress(ItemProgress):
    """Injected fault: an item waits for its version without end."""

    @property
    def _version_wait_left_s(self):
        return FAR_S


class KeptOriginProgress(ItemProgress):
    """Injected fault: an item that begins afresh keeps the version it had."""

    def begin_afresh(self, reason):
        writers = list(self.version._writers)
        super().begin_afresh(reason)
        self.version._writers += writers


class UnclearedMachine(ItemVersionMachine):
    progress_type = UnclearedProgress


class AnyVersionMachine(ItemVersionMachine):
    progress_type = AnyVersionProgress


class PatientMachine(ItemVersionMachine):
    progress_type = PatientProgress


class KeptOriginMachine(ItemVersionMachine):
    progress_type = KeptOriginProgress


class UncheckedMachine(ItemVersionMachine):
    """Injected fault: entries that come late are not looked at when a text is whole."""

    is_checked_when_whole = False


MACHINE_TYPES = {
    "none": ItemVersionMachine,
    "an item that begins afresh keeps its texts": UnclearedMachine,
    "an item that begins afresh keeps its version": KeptOriginMachine,
    "an item goes on at any version": AnyVersionMachine,
    "an item waits for its version without end": PatientMachine,
    "late entries are ignored": UncheckedMachine,
}


def run_machine(fault, n_examples):
    """Run the machine, with an injected fault unless that is "none"."""
    run_state_machine_as_test(
        MACHINE_TYPES[fault],
        settings=repeatable(n_examples, stateful_step_count=N_STEPS, print_blob=False),
    )

"""Steps of the feature on replication of control-plane documents."""

from __future__ import annotations

import random

from behave import given, then, when

from damaskjunction.membership import (
    DocumentKey,
    DocumentReplicas,
    DocumentRevision,
    HeldDocument,
    apply_delta,
    make_delta,
)

KEY = DocumentKey("configuration", "current")


@given('a host that holds revision {revision:d} with text "{text}"')
def make_replicas(context, revision, text):
    context.replicas = DocumentReplicas((KEY,))
    context.replicas.put(KEY, HeldDocument(revision, text.encode()))


@given("a host that holds nothing")
def make_empty_replicas(context):
    context.replicas = DocumentReplicas((KEY,))
    context.fetches = []


@given("a host that holds revision {revision:d} with a text of {n_lines:d} lines")
def make_large_replicas(context, revision, n_lines):
    context.lines = [f"workspace-{number}: share 1" for number in range(n_lines)]
    context.document = HeldDocument(revision, "\n".join(context.lines).encode())
    context.replicas = DocumentReplicas((KEY,))
    context.replicas.put(KEY, context.document)


@given("another host that holds the same")
def make_other_replicas(context):
    context.other = DocumentReplicas((KEY,))
    context.other.put(KEY, context.document)


@given("{n_pairs:d} pairs of random texts with seed {seed:d}")
def make_pairs(context, n_pairs, seed):
    rng = random.Random(seed)

    def make_text():
        return bytes(rng.choices(b"ab", k=rng.randrange(12)))

    context.pairs = [(make_text(), make_text()) for _ in range(n_pairs)]


@when('revision {revision:d} with text "{text}" is put')
def put(context, revision, text):
    context.replicas.put(KEY, HeldDocument(revision, text.encode()))


@when("revision {revision:d} with line {number:d} changed is put")
def put_changed(context, revision, number):
    context.lines[number] = "workspace-new: share 2"
    context.replicas.put(KEY, HeldDocument(revision, "\n".join(context.lines).encode()))


@when('"{host_id}" announces revision {revision:d}')
def announce(context, host_id, revision):
    documents = (DocumentRevision(*KEY, revision),)
    context.fetches = context.replicas.record_announcement(host_id, documents)


@when('"{host_id}" announces revision {revision:d} before the start-up wait ends')
def announce_early(context, host_id, revision):
    documents = (DocumentRevision(*KEY, revision),)
    context.fetches += context.replicas.record_announcement(
        host_id, documents, fetch_now=False
    )


@when("the start-up wait ends")
def end_startup_wait(context):
    context.fetches = context.replicas.start_pending_fetches()


@when('the fetch from "{host_id}" ends')
def end_fetch(context, host_id):
    context.fetches = context.replicas.end_fetch(KEY, host_id)


@then('revision {revision:d} with text "{text}" is held')
def check_held(context, revision, text):
    assert context.replicas.held(KEY) == HeldDocument(revision, text.encode())


@then('"{host_id}" is asked for a revision above {revision:d}')
def check_fetch(context, host_id, revision):
    asked = [(fetch.holder, fetch.base_revision) for fetch in context.fetches]
    assert asked == [(host_id, revision)], asked


@then("nothing is fetched")
def check_no_fetch(context):
    assert not context.fetches, context.fetches


@then("the delta since revision {revision:d} is at most {limit:d} bytes")
def check_delta_size(context, revision, limit):
    context.document_delta = context.replicas.delta_since(KEY, revision)
    assert len(context.document_delta.delta.middle) <= limit, context.document_delta


@then("the other host holds the same text after applying it")
def check_same_text(context):
    assert context.other.put_delta(KEY, context.document_delta)
    assert context.other.held(KEY) == context.replicas.held(KEY)


@then("each delta reproduces its text")
def check_deltas(context):
    for base, text in context.pairs:
        assert apply_delta(base, make_delta(base, text)) == text, (base, text)

"""Steps of the features on retries, answers, ejection, quarantine and idempotency."""

from __future__ import annotations

import random

from behave import given, then, when

from damaskjunction.core import Outcome, RequestError
from damaskjunction.routing import (
    AnswerAssembly,
    Attempts,
    Claim,
    ClaimState,
    EjectionPolicy,
    FailCall,
    GiveUp,
    OutlierEjection,
    PlainAnswer,
    Quarantine,
    Retry,
    RetryBudget,
    SharedExclusiveLock,
    StreamEnd,
    Token,
    resolve_claim,
)


@given("a request that is {kind}, with {left_s:f} s left")
def make_attempts(context, kind, left_s):
    context.attempts = Attempts(
        idempotent=kind == "idempotent",
        deadline_at_s=left_s,
        budget=RetryBudget(),
        rng=random.Random(1),
    )


@given("a request that is {kind}, with {left_s:d} s left")
def make_attempts_whole_seconds(context, kind, left_s):
    make_attempts(context, kind, float(left_s))


@when('an attempt fails as "{outcome}" for "{reason}"')
def fail_attempt(context, outcome, reason):
    context.attempts.begin_attempt(0.0)
    error = RequestError(Outcome(outcome), reason)
    context.effect = context.attempts.record_failure(error, 0.0)


@then('the next step is "{step}"')
def check_step(context, step):
    expected = {"retry": Retry, "give up": GiveUp}[step]
    assert isinstance(context.effect, expected), context.effect


@then('the caller gets the outcome "{outcome}"')
def check_outcome(context, outcome):
    assert isinstance(context.effect, GiveUp), context.effect
    assert context.effect.error.outcome is Outcome(outcome), context.effect


@when("{count:d} requests fail until they are given up, with seed {seed:d}")
def fail_all(context, count, seed):
    budget = RetryBudget()
    rng = random.Random(seed)
    context.n_retries = 0
    for _ in range(count):
        attempts = Attempts(idempotent=True, deadline_at_s=60.0, budget=budget, rng=rng)
        error = RequestError(Outcome.UNKNOWN, "runner_lost")
        attempts.begin_attempt(0.0)
        while isinstance(attempts.record_failure(error, 0.0), Retry):
            context.n_retries += 1
            attempts.begin_attempt(0.0)


@then("at most {bound:d} retries were made")
def check_retries(context, bound):
    assert 0 < context.n_retries <= bound, context.n_retries


@given("an answer in attempt {attempt:d}")
def make_answer(context, attempt):
    context.assembly = AnswerAssembly()
    context.assembly.begin_attempt(attempt)
    context.delivered = []


@when("attempt {attempt:d} begins")
def begin_attempt(context, attempt):
    context.assembly.begin_attempt(attempt)


@when("tokens {first:d} to {last:d} of attempt {attempt:d} arrive")
def receive_tokens(context, first, last, attempt):
    for position in range(first, last + 1):
        token = context.assembly.accept(Token(attempt, position, f"w{position}"))
        if token is not None:
            context.delivered.append(token.position)


@when("the end mark of {n_tokens:d} tokens of attempt {attempt:d} arrives")
def receive_end(context, n_tokens, attempt):
    context.assembly.accept(StreamEnd(attempt, n_tokens))


@then("tokens {first:d} to {last:d} were delivered and the answer is complete")
def check_delivered(context, first, last):
    assert context.delivered == list(range(first, last + 1)), context.delivered
    context.assembly.check_complete()


def assert_fails(action, outcome):
    try:
        action()
    except RequestError as error:
        assert error.outcome is outcome, error.outcome
    else:
        raise AssertionError("expected a RequestError")


@then("token {position:d} of attempt {attempt:d} fails it")
def check_gap(context, position, attempt):
    token = Token(attempt, position, "w")
    assert_fails(lambda: context.assembly.accept(token), Outcome.RAN)


@then("the end mark of {n_tokens:d} tokens fails it")
def check_end_fails(context, n_tokens):
    end = StreamEnd(context.assembly.attempt, n_tokens)
    assert_fails(lambda: context.assembly.accept(end), Outcome.RAN)


@then("the answer is incomplete")
def check_incomplete(context):
    assert_fails(context.assembly.check_complete, Outcome.UNKNOWN)


@given('candidates "{names}" and ejection after {n_failures:d} failures')
def make_ejection(context, names, n_failures):
    context.candidates = names.split(",")
    context.ejection = OutlierEjection(EjectionPolicy(n_failures=n_failures))
    context.now_s = 0.0


@given(
    'candidates "{names}" and ejection after {n_failures:d} failure, of bursts of'
    " {burst_s:g} s"
)
def make_burst_ejection(context, names, n_failures, burst_s):
    make_ejection(context, names, n_failures)
    policy = EjectionPolicy(n_failures=n_failures, burst_s=burst_s)
    context.ejection = OutlierEjection(policy)


@when('"{name}" fails {count:d} times')
def record_failures(context, name, count):
    for _ in range(count):
        context.ejection.record_failure(name, context.now_s)


@when('"{name}" succeeds')
def record_success(context, name):
    context.ejection.record_success(name)


@when("{duration_s:g} s elapse")
def elapse(context, duration_s):
    context.now_s += duration_s


@then('the healthy candidates are "{names}"')
def check_healthy(context, names):
    healthy = context.ejection.healthy(context.candidates, str, context.now_s)
    assert list(healthy) == names.split(","), healthy


@given('a runner that ran "{names}" and crashed')
def make_crash(context, names):
    context.quarantine = Quarantine()
    context.now_s = 0.0
    crash(context, names)


@given('a runner that crashed when "{name}" had {n_tokens:d} tokens')
def make_crash_at(context, name, n_tokens):
    context.quarantine = Quarantine()
    context.now_s = 0.0
    context.news = context.quarantine.record_crash(
        [name], context.now_s, was_alone=False, position_by_fingerprint={name: n_tokens}
    )


@given("another host that merged the news")
def make_other_host(context):
    context.other_host = Quarantine()
    context.other_host.merge(context.news, 0.0)


@given('requests "{names}" that completed')
def make_completed(context, names):
    context.quarantine = Quarantine()
    context.now_s = 0.0
    complete(context, names)


@when('a runner that ran "{names}" crashes')
def crash(context, names):
    context.news = context.quarantine.record_crash(
        names.split(","), context.now_s, was_alone=False
    )


@when('"{names}" run alone and complete')
def complete(context, names):
    for name in names.split(","):
        context.quarantine.record_completion(name, context.now_s)


@when('"{name}" runs alone and its runner crashes')
def crash_alone(context, name):
    context.news = context.quarantine.record_crash(
        [name], context.now_s, was_alone=True
    )


@when('"{name}" runs alone and its runner crashes after {n_tokens:d} tokens')
def crash_alone_at(context, name, n_tokens):
    crash_at(context.quarantine, name, n_tokens, context.now_s)


@when('"{name}" runs alone there and its runner crashes after {n_tokens:d} tokens')
def crash_alone_there(context, name, n_tokens):
    crash_at(context.other_host, name, n_tokens, context.now_s)


def crash_at(quarantine, name, n_tokens, now_s):
    quarantine.record_crash(
        [name], now_s, was_alone=True, position_by_fingerprint={name: n_tokens}
    )


@when('another host merges the news, and then news that "{name}" is clear')
def merge_news(context, name):
    context.other_host = Quarantine()
    context.other_host.merge(context.news, 0.0)
    clear = context.news._replace(verdict=context.other_host.verdict_of("none", 0.0))
    context.other_host.merge(clear, 0.0)


@when("{count:d} further requests become suspects")
def suspect_many(context, count):
    names = [f"request-{number}" for number in range(count)]
    context.quarantine.record_crash(names, context.now_s, was_alone=False)


@then("at most {bound:d} suspects are kept")
def check_suspects(context, bound):
    assert 0 < context.quarantine.n_suspects(context.now_s) <= bound


def verdicts(quarantine, text, now_s):
    names = [pair.partition(":")[0] for pair in text.split()]
    return " ".join(f"{n}:{quarantine.verdict_of(n, now_s).value}" for n in names)


@then('the verdicts are "{text}"')
def check_verdicts(context, text):
    actual = verdicts(context.quarantine, text, context.now_s)
    assert actual == text, actual


@then('the verdicts there are "{text}"')
def check_other_verdicts(context, text):
    actual = verdicts(context.other_host, text, 0.0)
    assert actual == text, actual


def record_access(context, effects):
    context.holders += [effect.request_id for effect in effects]


@given('requests "{names}" at a runner')
def make_lock(context, names):
    context.lock = SharedExclusiveLock()
    context.holders = []
    for name in names.split(","):
        record_access(context, context.lock.acquire(name, exclusive=False))


@when('"{name}" asks for exclusive access')
def request_exclusive(context, name):
    record_access(context, context.lock.acquire(name, exclusive=True))


@when('"{name}" asks for access')
def request_shared(context, name):
    record_access(context, context.lock.acquire(name, exclusive=False))


@when('"{names}" leave')
def leave(context, names):
    for name in names.split(","):
        context.holders.remove(name)
        record_access(context, context.lock.release(name))


@then('"{names}" are at the runner')
def check_holders(context, names):
    assert context.holders == names.split(","), context.holders


@given('a claim that is "{state}" with outcome "{outcome}"')
def make_claim(context, state, outcome):
    answer = PlainAnswer(0, 200, "text/plain", b"done")
    context.claim = Claim(
        ClaimState(state),
        "digest",
        "host",
        "request",
        0.0,
        Outcome(outcome),
        answer if state == "answered" else None,
    )


@when("{digest} call is repeated and {waits}")
def repeat_call(context, digest, waits):
    digest = "digest" if digest == "the same" else "other"
    may_wait = waits == "may wait"
    context.effect = resolve_claim(context.claim, digest, may_wait=may_wait)


@then('the result is "{result}"')
def check_claim_effect(context, result):
    effect = context.effect
    actual = (
        effect.error.reason if isinstance(effect, FailCall) else type(effect).__name__
    )
    assert actual == result, effect

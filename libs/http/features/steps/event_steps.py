"""Steps of the features on the parsers of event streams."""

from __future__ import annotations

from behave import given, then, when

from damaskjunction.http import BrokenResponseError, EventParser, RawEventParser

PARSERS_BY_KIND = {"parsed": EventParser, "raw": RawEventParser}


@given("a parser of {kind} events")
def make_parser(context, kind):
    context.parser = PARSERS_BY_KIND[kind]()


@when(
    "it gets events and then {count:d} chunks of {size:d} bytes without an end of event"
)
def feed_without_end(context, count, size):
    assert len(context.parser.feed(b"data: 1\n\ndata: 2\n\ndata: ")) == 2
    context.n_fed = 0
    context.has_given_up = False
    for _ in range(count):
        context.n_fed += size
        try:
            assert not context.parser.feed(b"x" * size)
        except BrokenResponseError:
            context.has_given_up = True
            return


@then("it gives up, and has held at most {limit:d} bytes")
def check_given_up(context, limit):
    assert context.has_given_up
    assert context.n_fed <= limit, context.n_fed

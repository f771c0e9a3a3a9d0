"""Steps of the feature on the last word of a home at a request's deadline."""

from __future__ import annotations

import asyncio
import time

from behave import then, when

from damaskjunction.core import Outcome, RequestError
from damaskjunction.node.serving.late_answers import next_message

TIMEOUT_S = 0.02
GRACE_S = 0.1
BUSY_S = 0.5


async def wait_for_message(*, is_refused, busy_s):
    """Return the error that ends the wait for a message of a home."""
    loop = asyncio.get_running_loop()
    last_word = loop.create_future()

    async def answer():
        yield await last_word

    if is_refused:
        refusal = RequestError(Outcome.NOT_RUN, "deadline")
        loop.call_later(TIMEOUT_S, last_word.set_exception, refusal)
    loop.call_soon(time.sleep, busy_s)
    try:
        return await next_message(answer(), TIMEOUT_S, GRACE_S)
    except (RequestError, TimeoutError) as error:
        return error


@when(
    "a home refuses a request at its deadline while the loop is busy until after the "
    "grace"
)
def refuse_while_busy(context):
    context.error = asyncio.run(wait_for_message(is_refused=True, busy_s=BUSY_S))


@when("a home says nothing at the deadline")
def say_nothing(context):
    context.error = asyncio.run(wait_for_message(is_refused=False, busy_s=0.0))


@then("the refusal of the home is what the entry gets")
def check_refusal(context):
    assert isinstance(context.error, RequestError), repr(context.error)
    assert context.error.outcome is Outcome.NOT_RUN


@then("the entry gets a timeout")
def check_timeout(context):
    assert isinstance(context.error, TimeoutError), repr(context.error)

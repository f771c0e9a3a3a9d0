"""Steps of matrix.feature."""

from __future__ import annotations

import random

from behave import given, then, when

from damaskjunction.lab.matrix import Cell, faults, flows, needs_proxies, run_cell
from damaskjunction.standins import deployed_names
from damaskjunction.standins.scenarios import run, start_fleet


@given('the matrix cell with fault "{fault}" at step "{step}" of flow "{flow}"')
def choose_cell(context, fault, step, flow):
    context.cell = Cell(flow, step, (fault,))


@given("the matrix cell with two faults chosen by seed {seed:d}")
def choose_two_faults(context, seed):
    rng = random.Random(seed)
    names = [name for name in faults if name != "none"]
    flow = rng.choice(list(flows))
    step = rng.choice(flows.get(flow).steps)
    context.cell = Cell(flow, step, tuple(rng.sample(names, 2)), seed)
    print(f"cell: {context.cell}")


@given('a running "{name}" fleet for the cell')
def start(context, name):
    proxied = deployed_names(name) if needs_proxies(context.cell) else ()
    start_fleet(context, name, proxied=proxied)


@when("the flow runs with the faults injected")
def run_flow(context):
    try:
        run(context, run_cell(context.deployed, context.cell))
    except AssertionError as error:
        context.violation = error
    else:
        context.violation = None


@then("every guarantee holds")
def check_guarantees(context):
    if context.violation is not None:
        raise context.violation

"""Steps of the fault matrix."""

from __future__ import annotations

import random

from behave import given, then, when

from damaskjunction.lab.matrix import Cell, faults, flows, run_cell
from damaskjunction.standins.scenarios import run, start_fleet


@given('a running "{name}" fleet')
def start(context, name):
    start_fleet(context, name)


@when('"{fault}" strikes at step "{step}" of flow "{flow}"')
def run_one(context, fault, step, flow):
    run(context, run_cell(context.deployed, Cell(flow, step, tuple(fault.split("+")))))


@when("two faults chosen with seed {seed:d} strike")
def run_double(context, seed):
    chance = random.Random(seed)
    names = [name for name in faults if name != "none"]
    flow = chance.choice(list(flows))
    step = chance.choice(flows.get(flow).steps)
    cell = Cell(flow, step, tuple(chance.sample(names, 2)), seed)
    print(f"cell: {cell}")
    run(context, run_cell(context.deployed, cell))


@then("every promise held")
def check(context):
    assert context.deployed is not None

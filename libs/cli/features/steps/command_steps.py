"""Steps of the command's feature."""

from __future__ import annotations

import json
import shlex
import tempfile
from pathlib import Path

import yaml
from behave import given, then, when

from damaskjunction.standins import (
    CALLER_KEY,
    DeployedFleet,
    deployments,
    run_command,
    token_text,
)
from damaskjunction.standins.scenarios import run


def folder_of(context):
    if not hasattr(context, "folder"):
        context.folder = tempfile.TemporaryDirectory()
        context.words = {}
    return Path(context.folder.name)


@given('a file "{name}" holding')
def write_file(context, name):
    path = folder_of(context) / name
    path.write_text(context.text)
    context.words[name] = str(path)


@given('a fleet "{name}" without a text')
def start_fleet_without_text(context, name):
    deployed = DeployedFleet(deployments.get(name))
    context.deployed = deployed
    run(context, deployed.start())
    folder = folder_of(context)
    text = folder / "fleet.yaml"
    text.write_text(
        yaml.safe_dump(dict(deployed.deployment.configuration), sort_keys=False)
    )
    key = folder / "key"
    key.write_text(CALLER_KEY)
    first = next(iter(deployed.hosts_by_id.values()))
    context.words |= {
        "fleet.yaml": str(text),
        "key": str(key),
        "host": str(first.caller),
    }


@then("the engines are ready")
def wait_for_engines(context):
    run(context, context.deployed.wait_until_serving(1))


def run_words(context, command):
    folder_of(context)
    for word, value in context.words.items():
        command = command.replace(f"{{{word}}}", value)
    context.finished = run(context, run_command(*shlex.split(command)))


@when('the command "{command}" is run')
def run_one(context, command):
    run_words(context, command)


@when("the results of that job are printed")
def print_results(context):
    job = json.loads(context.finished.stdout)["job_id"]
    run_words(context, f"results {job} --host {{host}} --key-file {{key}}")


@then("the exit code is {code:d}")
def check_code(context, code):
    assert context.finished.exit_code == code, context.finished


@then('the output holds "{text}"')
def check_output(context, text):
    assert text in context.finished.stdout, context.finished


@then('the errors hold "{text}"')
def check_errors(context, text):
    assert text in context.finished.stderr, context.finished


@then('the output holds the {n_tokens:d} tokens of "{prompt}"')
def check_tokens(context, n_tokens, prompt):
    text = "".join(token_text(prompt, position) for position in range(n_tokens))
    assert context.finished.stdout.strip() == text.strip(), context.finished


@then("the output has {n_lines:d} lines")
def check_lines(context, n_lines):
    assert len(context.finished.stdout.splitlines()) == n_lines, context.finished

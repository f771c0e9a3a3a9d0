"""Steps of the features of the command-line interface."""

from __future__ import annotations

import json
import shlex
import tempfile
from pathlib import Path

import yaml
from behave import given, then, when

from damaskjunction.http import HttpServer, Routes, to_json_response
from damaskjunction.standins import (
    CALLER_KEY,
    DeployedFleet,
    allocate_addresses,
    deployments,
    run_command,
    token_text,
)
from damaskjunction.standins.scenarios import run


def scenario_folder(context):
    if not hasattr(context, "folder"):
        context.folder = tempfile.TemporaryDirectory()
        context.placeholders = {}
    return Path(context.folder.name)


@given('a file "{name}" containing')
def write_file(context, name):
    path = scenario_folder(context) / name
    path.write_text(context.text)
    context.placeholders[name] = str(path)


@given('a fleet "{name}" without a configuration')
def start_fleet_without_configuration(context, name):
    deployed = DeployedFleet(deployments.get(name))
    context.deployed = deployed
    run(context, deployed.start())
    folder = scenario_folder(context)
    configuration = folder / "fleet.yaml"
    configuration.write_text(
        yaml.safe_dump(dict(deployed.deployment.configuration), sort_keys=False)
    )
    key = folder / "key"
    key.write_text(CALLER_KEY)
    first_host = next(iter(deployed.hosts_by_id.values()))
    context.placeholders |= {
        "fleet.yaml": str(configuration),
        "key": str(key),
        "host": str(first_host.caller),
    }


@given(
    "a fleet that reports a host at revision {revision:d} "
    "and a leaving one at revision {old_revision:d}"
)
def start_reporting_fleet(context, revision, old_revision):
    routes = Routes()
    hosts = [
        {"host_id": "a", "configuration_revision": revision, "state": "serving"},
        {"host_id": "b", "configuration_revision": old_revision, "state": "leaving"},
    ]

    @routes.register("PUT", "/v1/configuration")
    async def apply(request):
        await request.body.read()
        return to_json_response({"revision": revision})

    @routes.register("GET", "/v1/status")
    async def status(request):
        return to_json_response({"hosts": hosts})

    (address,) = allocate_addresses(1)
    context.server = HttpServer(address, routes.handle)
    run(context, context.server.start())
    scenario_folder(context)
    context.placeholders["host"] = str(address)


@then("the engines are ready")
def wait_for_engines(context):
    run(context, context.deployed.wait_until_serving(1))


def run_with_placeholders(context, command):
    scenario_folder(context)
    for placeholder, value in context.placeholders.items():
        command = command.replace(f"{{{placeholder}}}", value)
    context.finished = run(context, run_command(*shlex.split(command)))


@when('the command "{command}" is run')
def run_single_command(context, command):
    run_with_placeholders(context, command)


@when("the results of that job are printed")
def print_results(context):
    job = json.loads(context.finished.stdout)["job_id"]
    run_with_placeholders(context, f"results {job} --host {{host}} --key-file {{key}}")


@then("the exit code is {code:d}")
def check_exit_code(context, code):
    assert context.finished.exit_code == code, context.finished


@then('the output contains "{text}"')
def check_output(context, text):
    assert text in context.finished.stdout, context.finished


@then('standard error contains "{text}"')
def check_standard_error(context, text):
    assert text in context.finished.stderr, context.finished


@then('the output is the {n_tokens:d} tokens of "{prompt}"')
def check_tokens(context, n_tokens, prompt):
    text = "".join(token_text(prompt, position) for position in range(n_tokens))
    assert context.finished.stdout.strip() == text.strip(), context.finished


@then("the output has {n_lines:d} lines")
def check_lines(context, n_lines):
    assert len(context.finished.stdout.splitlines()) == n_lines, context.finished

"""Behave hooks of the features of the command-line interface."""

from damaskjunction.standins import scenarios


def before_scenario(context, scenario):
    """Create the scenario's event loop."""
    scenarios.before_scenario(context, scenario)
    context.server = None


def after_scenario(context, scenario):
    """Close the server, the fleet and the event loop."""
    if context.server is not None:
        scenarios.run(context, context.server.close())
    scenarios.after_scenario(context, scenario)

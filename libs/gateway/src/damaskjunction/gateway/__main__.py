"""``python -m damaskjunction.gateway ROLE``: one process of the deployment."""

from __future__ import annotations

import argparse
import importlib
import signal


def _run_host() -> None:
    """Run a host; its modules are read by this role alone."""
    importlib.import_module("damaskjunction.gateway.daemon").main()


def _run_storage() -> None:
    """Hold a machine that keeps nothing: all that lasts is in the platform's store."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # there is nothing to read again
    signal.sigwait({signal.SIGTERM, signal.SIGINT})


_RUN_BY_ROLE = {"host": _run_host, "storage": _run_storage}


def main() -> None:
    """Run the role named on the command line until it is told to stop."""
    parser = argparse.ArgumentParser(
        prog="damaskjunction.gateway", description="One process of the deployment."
    )
    parser.add_argument("role", choices=sorted(_RUN_BY_ROLE))
    _RUN_BY_ROLE[parser.parse_args().role]()


if __name__ == "__main__":
    main()

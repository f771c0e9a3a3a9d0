"""``python -m damaskjunction.gateway ROLE``: run one process of the deployment."""

from __future__ import annotations

import argparse
import gc
import importlib
import signal


def _run_host() -> None:
    """Run a host; only this role imports the modules of a host.

    What they define lives as long as the process, so the garbage collector neither
    runs while they load nor visits it later.
    """
    gc.disable()
    daemon = importlib.import_module("damaskjunction.gateway.daemon")
    gc.freeze()
    gc.enable()
    daemon.main()


def _run_storage() -> None:
    """Idle until stopped; all durable state is in the platform's store, none here."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # there are no settings to reload
    signal.sigwait({signal.SIGTERM, signal.SIGINT})


_RUN_BY_ROLE = {"host": _run_host, "storage": _run_storage}


def main() -> None:
    """Run the role named on the command line until a signal stops it."""
    parser = argparse.ArgumentParser(
        prog="damaskjunction.gateway", description="One process of the deployment."
    )
    parser.add_argument("role", choices=sorted(_RUN_BY_ROLE))
    _RUN_BY_ROLE[parser.parse_args().role]()


if __name__ == "__main__":
    main()

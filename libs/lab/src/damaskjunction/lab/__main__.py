"""Run ``python -m damaskjunction.lab demo``."""

from __future__ import annotations

import argparse
import asyncio

from damaskjunction.lab.demo import run_demo


def main() -> None:
    """Run what the command line names."""
    parser = argparse.ArgumentParser(prog="damaskjunction.lab")
    parser.add_argument("command", choices=("demo",))
    parser.parse_args()
    asyncio.run(run_demo())


if __name__ == "__main__":
    main()

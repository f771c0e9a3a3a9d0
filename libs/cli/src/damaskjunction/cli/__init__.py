"""The damaskjunction command-line interface."""

from damaskjunction.cli.main import main

__all__ = ["main"]

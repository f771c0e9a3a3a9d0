"""The damaskjunction command."""

from damaskjunction.cli.main import main

__all__ = ["main"]

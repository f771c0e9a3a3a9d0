"""The damaskjunction command."""

"""Composition root and daemon of one host."""

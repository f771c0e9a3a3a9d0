"""Thrift messages and multiplexed links between hosts."""

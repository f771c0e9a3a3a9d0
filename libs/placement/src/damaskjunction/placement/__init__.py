"""Decisions on what runs where and on orders to runners."""

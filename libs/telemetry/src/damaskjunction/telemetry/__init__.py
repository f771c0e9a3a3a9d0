"""JSON logs, metrics and the state dump."""

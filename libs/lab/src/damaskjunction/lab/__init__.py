"""Load generator, experiments and fault injection tests."""

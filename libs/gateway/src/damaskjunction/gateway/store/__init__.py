"""The ways to the platform's store and what this host follows there."""

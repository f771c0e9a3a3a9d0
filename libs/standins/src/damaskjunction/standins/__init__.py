"""Stand-ins of the platform, runners and network faults, for tests."""

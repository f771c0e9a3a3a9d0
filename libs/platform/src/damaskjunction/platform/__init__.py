"""Client of the platform's object API and host list."""

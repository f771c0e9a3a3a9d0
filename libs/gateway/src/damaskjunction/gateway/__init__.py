"""The host process on the users' platform, which sends callers' requests to runners.

``python -m damaskjunction.gateway`` starts it. Nothing imports it as a library, and
the package itself imports nothing, so that each role loads only its own modules.
"""

__all__: list[str] = []

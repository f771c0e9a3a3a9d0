"""The host process on the users' platform: callers in, runners out.

``python -m damaskjunction.gateway`` runs it; nothing imports it as a library, and the
package itself imports nothing, so that a role pays only for its own modules.
"""

__all__: list[str] = []

"""The host process on the users' platform: callers in, runners out."""

from damaskjunction.gateway.root import GatewayProcess

__all__ = ["GatewayProcess"]

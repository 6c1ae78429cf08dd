"""Measurements of the costs of each role, one module a role, registered in `MEASURES`."""

from . import members, placer, platform_client, presets, router, shards
from .registry import MEASURES

__all__ = ["MEASURES", "members", "placer", "platform_client", "presets", "router", "shards"]

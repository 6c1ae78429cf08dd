"""Settings of the daemon: a TOML file, checked as a whole at the edge."""

from .models import Settings
from .schema import load_settings, parse_settings

__all__ = ["Settings", "load_settings", "parse_settings"]

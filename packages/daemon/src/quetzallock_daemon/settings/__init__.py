"""Settings of the daemon: a TOML file that is validated as a whole when it is loaded."""

from .models import Settings
from .schema import load_settings, parse_settings

__all__ = ["Settings", "load_settings", "parse_settings"]

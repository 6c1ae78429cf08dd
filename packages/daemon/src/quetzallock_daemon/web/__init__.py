"""The HTTP interface towards callers, submitters and operators."""

from .site import make_site

__all__ = ["make_site"]

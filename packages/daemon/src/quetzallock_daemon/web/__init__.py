"""HTTP interface for callers, submitters of jobs and operators."""

from .site import make_site

__all__ = ["make_site"]

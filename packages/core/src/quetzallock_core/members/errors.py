"""Errors of the member list."""

from ..exceptions import QuetzallockError


class NameTakenError(QuetzallockError):
    """Two live processes use the same host name."""

    code = "host_name_taken"

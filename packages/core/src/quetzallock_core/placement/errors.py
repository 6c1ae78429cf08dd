"""Errors of placement."""

from ..exceptions import QuetzallockError


class NotHolderError(QuetzallockError):
    """This host holds no lease on the worker."""

    code = "not_holder"

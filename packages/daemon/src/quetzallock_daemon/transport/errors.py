"""Errors of calls."""

from quetzallock_core.exceptions import QuetzallockError


class CallFailedError(QuetzallockError):
    """A call got no complete answer; it may have been executed."""

    code = "call_failed"


class NotConnectedError(CallFailedError):
    """No connection could be established; the call was never sent."""

    code = "not_connected"

"""Errors of calls."""

from quetzallock_core.exceptions import QuetzallockError


class CallFailedError(QuetzallockError):
    """A call got no complete answer; it may have been executed."""

    code = "call_failed"


class NotConnectedError(CallFailedError):
    """No connection could be established; the call was never sent."""

    code = "not_connected"


class ConnectionRejectedError(NotConnectedError):
    """The machine at the address has answered that no process listens there."""

    code = "connection_rejected"


class ConnectionUnansweredError(NotConnectedError):
    """The machine at the address has not answered to a new connection in time."""

    code = "connection_unanswered"


class ConnectionLostError(CallFailedError):
    """The connection was closed or reset after the call was sent."""

    code = "connection_lost"

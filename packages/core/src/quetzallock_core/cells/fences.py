"""Fencing tokens of the calls to workers, which rise with each boot that is called.

A worker that starts again under its id carries out calls that were meant for its earlier boot. It
keeps the highest token that it has seen and refuses lower ones, so that none of these calls has an
effect once any call to the new boot has reached it.
"""

from typing import Final

from .records import FencesRecord

TOKENS_PER_EPOCH: Final = 1_000_000
"""Tokens of an epoch: more than the boots that one owner can see."""


class Fences:
    """Chooses the tokens of one owner.

    Hosts of earlier versions use the epoch itself, which workers would refuse after a token of this
    kind. So tokens rise with boots only once the journal says so, where hosts that have not been
    told to use such tokens read it too.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._tokens_per_epoch = 1
        self._last_token = epoch

    @property
    def rise_with_boots(self) -> bool:
        """Whether each boot gets a higher token."""
        return self._tokens_per_epoch > 1

    def apply(self, record: FencesRecord) -> None:
        """Use the tokens that the journal names, from the next boot on."""
        if record.tokens_per_epoch != self._tokens_per_epoch:
            self._tokens_per_epoch = record.tokens_per_epoch
            self._last_token = self._epoch * record.tokens_per_epoch

    def next_token(self) -> int:
        """Return the token for calls to a boot that was not called before.

        It stays below those of the next epoch, however many boots there are.
        """
        highest = (self._epoch + 1) * self._tokens_per_epoch - 1
        self._last_token = min(highest, self._last_token + 1)
        return self._last_token

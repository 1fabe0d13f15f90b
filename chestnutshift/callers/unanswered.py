"""The requests of one connection that are not answered completely."""

from collections import UserList
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chestnutshift.callers.exchange import CallerExchange


class UnansweredExchanges(UserList['CallerExchange']):
    """The exchanges of one connection, the oldest first."""

    def is_followed(self, exchange: 'CallerExchange') -> bool:
        """Return whether requests behind the exchange are being served."""
        return self[-1] is not exchange

    def end_work(self) -> None:
        """Have applications end their work on the requests, if they can."""
        for exchange in self:
            if exchange.work is not None:
                exchange.work.cancel()

    async def wait_for_streams(self, exchange: 'CallerExchange') -> None:
        """Wait until no answer before that of the exchange is streamed.

        Nor may one be streamed later, as far as that is known.
        """
        earlier = self._holding_back(exchange)
        while earlier is not None:
            await _wait_for_change(earlier)
            earlier = self._holding_back(exchange)

    def _holding_back(
        self, exchange: 'CallerExchange'
    ) -> 'CallerExchange | None':
        for earlier in self:
            if earlier is exchange:
                return None
            if earlier.is_streaming or earlier.length.may_be_long:
                return earlier
        return None


async def _wait_for_change(exchange: 'CallerExchange') -> None:
    """Wait until the requests behind the exchange may go on, or nearly."""
    if exchange.length.is_known:
        await exchange.done.wait()
    else:
        await exchange.length.wait()

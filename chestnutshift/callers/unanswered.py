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
        """Wait until no answer before that of the exchange is streamed."""
        streamed = self._stream_before(exchange)
        while streamed is not None:
            await streamed.done.wait()
            streamed = self._stream_before(exchange)

    def _stream_before(
        self, exchange: 'CallerExchange'
    ) -> 'CallerExchange | None':
        for earlier in self:
            if earlier is exchange:
                return None
            if earlier.is_streaming:
                return earlier
        return None

"""Registry of the handlers of messages from other VMs."""

from collections.abc import Awaitable, Callable

import attrs

from chestnutshift.exceptions import CodedError
from chestnutshift.registry import Registry
from chestnutshift.wire.generated.links import ttypes

Handler = Callable[[str, object], Awaitable[ttypes.Body]]


@attrs.define
class Handlers:
    """The message handlers of one VM, by the name of the field in Body."""

    _registry: Registry[Handler] = attrs.field(
        factory=lambda: Registry('message handler'),
    )

    def register(self, field: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers the handler of a field."""
        return self._registry.register(field)

    async def answer(self, peer: str, body: ttypes.Body | None) -> ttypes.Body:
        """Return the answer to a message; a coded error becomes a Refusal."""
        try:
            return await self._dispatch(peer, body)
        except CodedError as error:
            refusal = ttypes.Refusal(code=error.code, detail=error.detail)
            return ttypes.Body(refusal=refusal)

    async def _dispatch(
        self,
        peer: str,
        body: ttypes.Body | None,
    ) -> ttypes.Body:
        for field in self._registry:
            message = getattr(body, field, None)
            if message is not None:
                return await self._registry.get(field)(peer, message)
        refusal = ttypes.Refusal(
            code='links.unknown', detail='no handler for this message'
        )
        return ttypes.Body(refusal=refusal)

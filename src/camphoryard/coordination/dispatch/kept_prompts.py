"""Which parts of prompts an engine keeps, from what it has read."""

from collections import OrderedDict
from collections.abc import Collection
from typing import TypeAlias

from camphoryard.state.dispatch import PromptPart
from camphoryard.state.ids import AdapterId, ModelId, PromptPartId
from camphoryard.state.traffic import RequestedModel

MAX_PARTS = 512
"""Parts remembered of each engine."""

_Key: TypeAlias = tuple[ModelId, AdapterId | None, PromptPartId]


class KeptPrompts:
    """Parts of prompts in one engine's memory; the least recently used yield first."""

    def __init__(self) -> None:
        self._tokens_by_key: OrderedDict[_Key, int] = OrderedDict()
        self._tokens = 0

    def kept_tokens(self, item: RequestedModel, parts: Collection[PromptPart]) -> int:
        """Return the tokens of the leading ``parts`` that need not be read again."""
        kept = 0
        for part in parts:
            tokens = self._tokens_by_key.get((item.model, item.adapter, part.id))
            if tokens is None:
                break
            kept += min(tokens, part.tokens)
        return kept

    def add(
        self, item: RequestedModel, parts: Collection[PromptPart], capacity_tokens: int
    ) -> None:
        """Record that the engine has read ``parts``, and drop what has no room.

        Parameters
        ----------
        item : RequestedModel
            The model and adapter they were read for.
        parts : collection of PromptPart
            Parts of one prompt, in order.
        capacity_tokens : int
            Memory for parts, in tokens.
        """
        for part in reversed(tuple(parts)):
            key = (item.model, item.adapter, part.id)
            self._tokens += part.tokens - self._tokens_by_key.get(key, 0)
            self._tokens_by_key[key] = part.tokens
            self._tokens_by_key.move_to_end(key)
        while self._tokens > capacity_tokens or len(self._tokens_by_key) > MAX_PARTS:
            if not self._tokens_by_key:
                break
            _, tokens = self._tokens_by_key.popitem(last=False)
            self._tokens -= tokens

    def retain_models(self, loaded: Collection[ModelId]) -> None:
        """Drop the parts of models that are no longer loaded."""
        gone = [key for key in self._tokens_by_key if key[0] not in loaded]
        for key in gone:
            self._tokens -= self._tokens_by_key.pop(key)

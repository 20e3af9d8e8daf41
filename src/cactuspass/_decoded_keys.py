"""Values of keys in decoded form; each revision of a key is decoded only once."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from cactuspass._platform import KeyValue

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Decoded(Generic[T]):
    revision: int
    content: T


class DecodedKeys(Generic[T]):
    """What the values of keys describe, as they were last read.

    :param decode: returns what a value describes; for an invalid value it returns so as well, so
        that it is not called for the same revision again.
    """

    def __init__(self, decode: Callable[[KeyValue], T]) -> None:
        self._decode = decode
        self._decoded_by_key: dict[str, _Decoded[T]] = {}

    def get(self, key: str) -> T | None:
        """Return what the value of a key describes; None if the key is not known."""
        known = self._decoded_by_key.get(key)
        return known.content if known is not None else None

    def decode(self, item: KeyValue) -> T:
        """Return what a value describes."""
        known = self._decoded_by_key.get(item.key)
        if known is None or known.revision != item.mod_revision:
            known = _Decoded(item.mod_revision, self._decode(item))
            self._decoded_by_key[item.key] = known
        return known.content

    def decode_all(self, items: Iterable[KeyValue]) -> tuple[T, ...]:
        """Return what all values describe, and forget all other keys."""
        items = tuple(items)
        self.retain({item.key for item in items})
        return tuple(map(self.decode, items))

    def remove(self, key: str) -> None:
        """Forget a key."""
        self._decoded_by_key.pop(key, None)

    def retain(self, keys: Collection[str]) -> None:
        """Forget all keys but these."""
        for key in self._decoded_by_key.keys() - keys:
            del self._decoded_by_key[key]

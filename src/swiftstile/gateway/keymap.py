"""Which upstream owns which keys of a service.

Keys are divided into slots of equal width; neighbouring slots belong to
different upstreams, so that a busy neighbourhood of keys is spread out before
it becomes busy. The map is one document in the platform's table.
"""

import array
import zlib

import msgspec

from swiftstile import errors
from swiftstile.gateway import interfaces
from swiftstile.gateway import model

__all__ = ["KeyMap", "KeySlot", "decode"]

_NOBODY = 0xFFFF
_COMPRESSION = 1


class KeySlot(msgspec.Struct):
    """The keys of one slot.

    Attributes:
        owner: Upstream that owns them, or None.
        fence: Grows with each owner.
        token: Hand-over token of the last owner; empty when there is none.
        is_leaving: Nobody renews it; it is about to get another owner.
    """

    owner: model.UpstreamId | None = None
    fence: int = 0
    token: str = ""
    is_leaving: bool = False


class _Document(msgspec.Struct, array_like=True):
    attempt: str
    next_fence: int
    upstreams: list[str]
    owners: bytes
    fences: bytes
    leaving: list[int]
    tokens: dict[int, str]


class KeyMap:
    """All slots of a service.

    Attributes:
        version: Version of its row in the table; 0 when it isn't stored.
        next_fence: Above every fence that was ever given. It is never given
            to another owner, but kept for shutting out late grants of the
            present one.
        slots: Slots by index.
    """

    def __init__(self, version: int, next_fence: int, slots: list[KeySlot]):
        self.version = version
        self.next_fence = next_fence
        self.slots = slots
        self.leaving = {i for i, slot in enumerate(slots) if slot.is_leaving}
        self.slots_by_owner: dict[model.UpstreamId, list[int]] = {}
        for index, slot in enumerate(slots):
            if slot.owner is not None:
                self.slots_by_owner.setdefault(slot.owner, []).append(index)

    @classmethod
    def empty(cls, count: int) -> "KeyMap":
        """Returns a map of `count` slots without owners."""
        return cls(0, 1, [KeySlot() for _ in range(count)])

    def copy(self) -> "KeyMap":
        """Returns a map that can be changed without changing this one."""
        slots = [
            KeySlot(slot.owner, slot.fence, slot.token, slot.is_leaving)
            for slot in self.slots
        ]
        return KeyMap(self.version, self.next_fence, slots)

    def leaving_by_owner(self) -> dict[model.UpstreamId, list[int]]:
        """Returns the slots that are leaving, in order, by who owns them."""
        found: dict[model.UpstreamId, list[int]] = {}
        for index in sorted(self.leaving):
            found.setdefault(self.slots[index].owner, []).append(index)
        return found

    def index_of(self, key: int) -> int:
        """Returns the slot of a key."""
        return key * len(self.slots) // model.KEY_SPACE

    def keys_of(self, index: int) -> interfaces.KeyRange:
        """Returns the keys of a slot."""
        width = model.KEY_SPACE // len(self.slots)
        return interfaces.KeyRange(index * width, (index + 1) * width - 1)

    def runs_of(self, owner: model.UpstreamId) -> list[range]:
        """Returns an owner's slots that stay, neighbours in one range."""
        runs: list[range] = []
        for index in self.slots_by_owner.get(owner, ()):
            slot = self.slots[index]
            if slot.is_leaving:
                continue
            last = runs[-1] if runs else None
            if last and last.stop == index and self._is_alike(index - 1, index):
                runs[-1] = range(last.start, index + 1)
            else:
                runs.append(range(index, index + 1))
        return runs

    def _is_alike(self, left: int, right: int) -> bool:
        one, other = self.slots[left], self.slots[right]
        return (one.fence, one.token) == (other.fence, other.token)

    def keys_of_run(self, run: range) -> interfaces.KeyRange:
        """Returns the keys of neighbouring slots."""
        return interfaces.KeyRange(
            self.keys_of(run.start).first, self.keys_of(run[-1]).last
        )

    def give(
        self, tokens: dict[int, str], owners: dict[int, model.UpstreamId]
    ) -> "KeyMap":
        """Returns a map in which slots have new owners, under a new fence.

        Args:
            tokens: Hand-over tokens by slot, where there are any.
            owners: New owners by slot.
        """
        changed = self.copy()
        for index, owner in owners.items():
            slot = changed.slots[index]
            slot.owner = owner
            slot.fence = self.next_fence + 1
            slot.token = tokens.get(index, "")
            slot.is_leaving = False
        return KeyMap(self.version, self.next_fence + 2, changed.slots)

    def raise_fence(self) -> "KeyMap":
        """Returns the same map with a fence that nobody used yet."""
        changed = self.copy()
        return KeyMap(self.version, self.next_fence + 2, changed.slots)

    def without_tokens(self) -> "KeyMap":
        """Returns a map that has no hand-over tokens."""
        changed = self.copy()
        for slot in changed.slots:
            slot.token = ""
        return changed

    def mark_leaving(self, slots) -> "KeyMap":
        """Returns a map in which slots are about to change their owner."""
        changed = self.copy()
        for index in slots:
            changed.slots[index].is_leaving = True
        return KeyMap(self.version, self.next_fence, changed.slots)

    def encode(self, attempt: str) -> bytes:
        """Returns the document; `attempt` makes each writing of it unique."""
        names = sorted({slot.owner for slot in self.slots if slot.owner})
        number = {name: index for index, name in enumerate(names)}
        owners = array.array(
            "H", (number.get(slot.owner, _NOBODY) for slot in self.slots)
        )
        fences = array.array("I", (slot.fence for slot in self.slots))
        document = _Document(
            attempt,
            self.next_fence,
            list(names),
            owners.tobytes(),
            fences.tobytes(),
            [i for i, slot in enumerate(self.slots) if slot.is_leaving],
            {i: slot.token for i, slot in enumerate(self.slots) if slot.token},
        )
        return zlib.compress(msgspec.msgpack.encode(document), _COMPRESSION)


def decode(data: bytes, version: int, peer: str = "") -> KeyMap:
    """Returns the map in a document.

    Raises:
        ControlMessageError: The document is malformed.
    """
    try:
        document = msgspec.msgpack.decode(zlib.decompress(data), type=_Document)
        owners = array.array("H", document.owners)
        fences = array.array("I", document.fences)
        slots = [
            KeySlot(
                None if owner == _NOBODY else document.upstreams[owner], fence
            )
            for owner, fence in zip(owners, fences, strict=True)
        ]
        for index in document.leaving:
            slots[index].is_leaving = True
        for index, token in document.tokens.items():
            slots[index].token = token
    except (msgspec.MsgspecError, zlib.error, ValueError, IndexError) as error:
        raise errors.ControlMessageError(
            repr(error), step="decode key map", peer=peer
        ) from error
    return KeyMap(version, document.next_fence, slots)

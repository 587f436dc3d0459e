"""The key map of a service: which upstream owns which keys.

Keys are divided into slots of equal width. Adjacent slots that were assigned to
one owner together form a range, which is renewed by a single grant. The map is
stored as one document in the platform's table.
"""

import array
import bisect
import typing
import zlib

import msgspec

from swiftstile import errors
from swiftstile.gateway import interfaces
from swiftstile.gateway import model
from swiftstile.gateway import store_versions

__all__ = ["KeyMap", "KeySlot", "decode"]

_NO_OWNER = 0xFFFF
_MAX_FENCE = 0xFFFFFFFF
# Largest document; that of a row of the store, uncompressed, is far smaller.
_MAX_BYTES = 1 << 24
_COMPRESSION = 1
# Owners are encoded as 2-byte indices, fences as 4-byte numbers.
_OWNER_CODE, _FENCE_CODE = "H", "I"
# Slots that are compared at a time, to find the few that differ quickly.
_CHUNK = 64
# Maps that differ in a larger share of their slots are built from scratch.
_MAX_CHANGED_SHARE = 0.2


class KeySlot(msgspec.Struct, frozen=True):
    """The state of one slot; successive maps share most of these objects.

    Attributes:
        owner: Upstream that owns the keys, or None.
        fence: Fence of the assignment; it grows with each one.
        token: Hand-over token of the last owner; empty when there is none.
        is_leaving: Whether the slot is about to get another owner. Nobody
            renews it then.
    """

    owner: model.UpstreamId | None = None
    fence: int = 0
    token: str = ""
    is_leaving: bool = False


class _Document(msgspec.Struct, array_like=True, frozen=True):
    attempt: str
    next_fence: typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_FENCE)]
    upstreams: list[str]
    owners: bytes
    fences: bytes
    leaving: list[int]
    tokens: dict[int, str]
    # By upstream, in the order of `upstreams`.
    started_ms: list[int] = []
    # Generation of the store for which the map was written; None in documents
    # of earlier releases.
    generation: int | None = None
    uncertain: list[int] = []


class KeyMap:
    """All slots of a service.

    Attributes:
        version: Version of its row in the table; 0 when it isn't stored.
        next_fence: Higher than every fence that was ever assigned. It is never
            assigned to another owner, but reserved for fencing off late grants
            to the current one.
        slots: Slots by index.
        started_ms: Start time of each owner, from `model.Upstream`, when its
            slots were assigned; only where it is known.
        generation: Generation of the store for which it was written; None if it
            isn't known.
        uncertain: Slots that are leaving and that a lost map may have assigned
            to another upstream.
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
        self.started_ms: dict[model.UpstreamId, int] = {}
        self.generation: store_versions.Generation | None = None
        self.uncertain: frozenset[int] = frozenset()
        self._ranges_by_owner: dict[model.UpstreamId, list[range]] = {}
        # The decoded document, if the map was read from one.
        self._columns: _Columns | None = None

    @classmethod
    def empty(cls, count: int) -> "KeyMap":
        """Returns a map of `count` slots without owners."""
        return cls(0, 1, [KeySlot() for _ in range(count)])

    def with_slots(
        self, changed: dict[int, KeySlot], next_fence: int, version: int
    ) -> "KeyMap":
        """Returns a map in which some slots are replaced.

        It shares everything else with this map: the maps of a site change
        several times a second, in a few of thousands of slots.
        """
        slots = list(self.slots)
        for index, slot in changed.items():
            slots[index] = slot
        if len(changed) > _MAX_CHANGED_SHARE * len(slots):
            result = KeyMap(version, next_fence, slots)
            self._copy_details(result, changed)
            return result
        result = KeyMap(version, next_fence, [])
        self._copy_details(result, changed)
        result.slots = slots
        result.leaving = self.leaving - set(changed)
        result.leaving |= {i for i, slot in changed.items() if slot.is_leaving}
        result.slots_by_owner = self._updated_owners(changed)
        return result

    def _copy_details(self, result: "KeyMap", changed) -> None:
        result.started_ms = self.started_ms
        result.generation = self.generation
        result.uncertain = self.uncertain - changed.keys()

    @property
    def is_confirmed(self) -> bool:
        """Whether it was written in the generation that it was read in.

        If not, it is part of an older copy: owners may have given keys away
        since, and nothing may be granted by it.
        """
        known = self.generation
        return known is None or known >= store_versions.generation_of(
            self.version
        )

    def _updated_owners(
        self, changed: dict[int, KeySlot]
    ) -> dict[model.UpstreamId, list[int]]:
        owned = dict(self.slots_by_owner)
        fresh = set()
        for index, slot in changed.items():
            before = self.slots[index].owner
            if before == slot.owner:
                continue
            for owner in {before, slot.owner} - fresh - {None}:
                owned[owner] = list(owned.get(owner, ()))
                fresh.add(owner)
            if before is not None:
                owned[before].remove(index)
            if slot.owner is not None:
                bisect.insort(owned[slot.owner], index)
        for owner in fresh:
            if not owned[owner]:
                del owned[owner]
        return owned

    def leaving_by_owner(self) -> dict[model.UpstreamId, list[int]]:
        """Returns the slots that are leaving, in order, by their owner."""
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

    def ranges_of(self, owner: model.UpstreamId) -> list[range]:
        """Returns an owner's slots that aren't leaving, as ranges."""
        known = self._ranges_by_owner.get(owner)
        if known is not None:
            return known
        ranges = self._ranges_by_owner[owner] = []
        for index in self.slots_by_owner.get(owner, ()):
            slot = self.slots[index]
            if slot.is_leaving:
                continue
            last = ranges[-1] if ranges else None
            if (
                last
                and last.stop == index
                and self.were_assigned_together(index - 1, index)
            ):
                ranges[-1] = range(last.start, index + 1)
            else:
                ranges.append(range(index, index + 1))
        return ranges

    def were_assigned_together(self, left: int, right: int) -> bool:
        """Whether two slots were assigned to one owner by the same write."""
        one, other = self.slots[left], self.slots[right]
        return (one.owner, one.fence, one.token) == (
            other.owner,
            other.fence,
            other.token,
        )

    def keys_of_range(self, slot_range: range) -> interfaces.KeyRange:
        """Returns the keys of a range of slots."""
        return interfaces.KeyRange(
            self.keys_of(slot_range.start).first,
            self.keys_of(slot_range[-1]).last,
        )

    def assign(
        self,
        tokens: dict[int, str],
        owners: dict[int, model.UpstreamId],
        started_ms: dict[model.UpstreamId, int] | None = None,
    ) -> "KeyMap":
        """Returns a map in which slots have new owners, under a new fence.

        Args:
            tokens: Hand-over tokens by slot, where there are any.
            owners: New owners by slot.
            started_ms: The start time of each new owner, where it is known. The
                owner's other slots must have been assigned for the same start.
        """
        changed = {
            index: KeySlot(owner, self.next_fence + 1, tokens.get(index, ""))
            for index, owner in owners.items()
        }
        result = self.with_slots(changed, self.next_fence + 2, self.version)
        result.started_ms = self.started_ms | (started_ms or {})
        return result

    def with_newer_fence(self) -> "KeyMap":
        """Returns the same map with a fence that hasn't been used yet."""
        return self.with_slots({}, self.next_fence + 2, self.version)

    def confirmed(
        self,
        fence_step: int,
        version: int,
        uncertain: frozenset[int],
        needs_new_fences: bool,
    ) -> "KeyMap":
        """Returns the map to write after the store lost writes.

        Args:
            fence_step: Added to the next fence; more than lost maps used.
            version: Version of the row that it replaces.
            uncertain: Slots that may have another owner.
            needs_new_fences: Whether all owners get their slots anew.
        """
        result = self.with_slots({}, self.next_fence + fence_step, version)
        if needs_new_fences:
            owners = {
                index: slot.owner
                for index, slot in enumerate(self.slots)
                if slot.owner is not None
            }
            result = result.assign({}, owners, self.started_ms)
        result.uncertain = uncertain
        return result

    def without_tokens(self) -> "KeyMap":
        """Returns the same map without hand-over tokens."""
        changed = {
            index: msgspec.structs.replace(slot, token="")
            for index, slot in enumerate(self.slots)
            if slot.token
        }
        return self.with_slots(changed, self.next_fence, self.version)

    def mark_leaving(self, slots) -> "KeyMap":
        """Returns a map in which slots are marked as leaving their owner."""
        changed = {
            index: msgspec.structs.replace(self.slots[index], is_leaving=True)
            for index in slots
        }
        return self.with_slots(changed, self.next_fence, self.version)

    def changed_since(self, earlier: "KeyMap") -> list[int]:
        """Returns the slots that differ from a map with as many slots."""
        # Comparing slots that both maps share is fast: they are identical.
        return _differences(self.slots, earlier.slots)

    def encode(self, attempt: str) -> bytes:
        """Returns the document; `attempt` makes each write of it unique."""
        names = sorted({slot.owner for slot in self.slots if slot.owner})
        number = {name: index for index, name in enumerate(names)}
        owners = array.array(
            _OWNER_CODE,
            (number.get(slot.owner, _NO_OWNER) for slot in self.slots),
        )
        fences = array.array(_FENCE_CODE, (slot.fence for slot in self.slots))
        document = _Document(
            attempt,
            self.next_fence,
            list(names),
            owners.tobytes(),
            fences.tobytes(),
            [i for i, slot in enumerate(self.slots) if slot.is_leaving],
            {i: slot.token for i, slot in enumerate(self.slots) if slot.token},
            [self.started_ms.get(name, 0) for name in names],
            self.generation,
            sorted(self.uncertain),
        )
        return zlib.compress(msgspec.msgpack.encode(document), _COMPRESSION)


def decode(
    data: bytes, version: int, peer: str = "", known: KeyMap | None = None
) -> KeyMap:
    """Decodes a map.

    Args:
        data: The document.
        version: Version of its row.
        peer: Origin of the document, for errors.
        known: An earlier map of the same service. Slots that both maps have in
            common are reused.

    Raises:
        ControlMessageError: The document is malformed.
    """
    try:
        document = msgspec.msgpack.decode(_decompress(data), type=_Document)
        columns = _Columns(document)
        result = _changed_map(columns, version, known)
        if result is None:
            result = KeyMap(version, document.next_fence, columns.slots())
    except (msgspec.MsgspecError, zlib.error, ValueError, IndexError) as error:
        raise errors.ControlMessageError(
            repr(error), step="decode key map", peer=peer
        ) from error
    result._columns = columns
    if document.generation is None:
        result.generation = None
    else:
        result.generation = store_versions.Generation(document.generation)
    result.uncertain = frozenset(document.uncertain)
    result.started_ms = dict(
        zip(document.upstreams, document.started_ms, strict=False)
    )
    return result


def _decompress(data: bytes) -> bytes:
    """Returns a document; a longer one than any map's is an error."""
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(data, _MAX_BYTES)
    if not decompressor.eof:
        raise ValueError(f"incomplete, or more than {_MAX_BYTES} bytes")
    return plain


class _Columns:
    """The columns of a document, by slot.

    Raises:
        ValueError: The columns differ in length.
        IndexError: A slot index is out of range.
    """

    def __init__(self, document: _Document):
        self.document = document
        self.owners = array.array(_OWNER_CODE, document.owners)
        self.fences = array.array(_FENCE_CODE, document.fences)
        self._leaving = set(document.leaving)
        if len(self.owners) != len(self.fences):
            raise ValueError(
                f"{len(self.owners)} owners and {len(self.fences)} fences"
            )
        named = self._leaving | document.tokens.keys()
        named |= set(document.uncertain)
        if named and not 0 <= min(named) <= max(named) < len(self.owners):
            raise IndexError(f"not all are below {len(self.owners)}: {named}")

    def slots(self) -> list[KeySlot]:
        """Returns all slots."""
        return [self.slot(index) for index in range(len(self.owners))]

    def slot(self, index: int) -> KeySlot:
        """Returns one slot."""
        owner = self.owners[index]
        return KeySlot(
            None if owner == _NO_OWNER else self.document.upstreams[owner],
            self.fences[index],
            self.document.tokens.get(index, ""),
            index in self._leaving,
        )

    def changed_since(self, earlier: "_Columns") -> set[int]:
        """Returns the slots that differ from a document with as many slots."""
        old, new = earlier.document, self.document
        changed = self._leaving ^ earlier._leaving
        changed |= {i for i, _ in new.tokens.items() ^ old.tokens.items()}
        changed.update(_differences(self.owners, earlier.owners))
        changed.update(_differences(self.fences, earlier.fences))
        return changed


def _changed_map(
    columns: _Columns, version: int, known: KeyMap | None
) -> KeyMap | None:
    """Builds the map from a known one, or returns None if they don't match."""
    earlier = None if known is None else known._columns
    document = columns.document
    if earlier is None or earlier.document.upstreams != document.upstreams:
        return None
    if len(earlier.owners) != len(columns.owners):
        return None
    changed = columns.changed_since(earlier)
    slots = {index: columns.slot(index) for index in changed}
    return known.with_slots(slots, document.next_fence, version)


def _differences(one, other) -> list[int]:
    """Returns the indices at which two sequences of one length differ."""
    found = []
    for start in range(0, len(one), _CHUNK):
        left, right = one[start : start + _CHUNK], other[start : start + _CHUNK]
        if left != right:
            pairs = enumerate(zip(left, right, strict=True), start)
            found += [i for i, (this, that) in pairs if this != that]
    return found

"""Grants of slices to servers, and the interface that sends them."""

import abc

import msgspec

from swiftstile import ids

__all__ = ["Grant", "GrantReply", "GrantedSlice", "UpstreamControl"]


class GrantedSlice(msgspec.Struct, array_like=True, frozen=True):
    """A slice as it is sent to a server: positions in [start, end)."""

    start: int
    end: int
    fence: ids.Fence


class Grant(msgspec.Struct, frozen=True):
    """Grants a server a lease on a set of slices, or renews it.

    Slices that are left out are released.

    Attributes:
        organisation: Organisation of the service.
        service: Name of the service.
        instance: Identifies the run of the server that the grant is for.
        epoch: Epoch of the coordinator.
        sequence: Increases with each grant of an epoch. The server refuses
            grants with a lower one.
        expires: End of the lease on the server's own clock, in seconds.
        digest: Digest of the set of slices.
        slices: The whole set; None if the server already has that set.
    """

    organisation: ids.OrganisationId
    service: ids.ServiceName
    instance: str
    epoch: ids.Epoch
    sequence: int
    expires: float
    digest: str
    slices: tuple[GrantedSlice, ...] | None = None


class GrantReply(msgspec.Struct, frozen=True):
    """Reply of a server to a grant, or to a request for its clock.

    Attributes:
        instance: Identifies the run of the server.
        clock: The server's clock, in seconds.
        accepted: Whether the grant is in force.
        epoch: Highest epoch that the server has seen.
        digest: Digest of the set of slices that the server holds.
        draining: Requests in flight on slices that it no longer holds.
        reason: Why the grant was refused.
    """

    instance: str
    clock: float
    accepted: bool = True
    epoch: ids.Epoch = ids.Epoch(0)
    digest: str = ""
    draining: int = 0
    reason: str = ""


class UpstreamControl(abc.ABC):
    """Sends control requests to the servers of upstream VMs."""

    @abc.abstractmethod
    async def read_clock(
        self, address: str, service: ids.ServiceId
    ) -> GrantReply:
        """Reads a server's clock.

        Raises:
            PeerUnavailableError: No answer.
        """

    @abc.abstractmethod
    async def probe(self, address: str) -> None:
        """Checks that a server that doesn't accept grants responds.

        Raises:
            PeerUnavailableError: No answer.
        """

    @abc.abstractmethod
    async def grant(self, address: str, grant: Grant) -> GrantReply:
        """Sends a grant, which may take effect even if no answer arrives.

        Raises:
            PeerUnavailableError: No answer.
        """

    async def close(self) -> None:
        """Closes all connections."""

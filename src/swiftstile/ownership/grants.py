"""What a coordinator asks of a server, and the interface it does it by."""

import abc

import msgspec

from swiftstile import ids

__all__ = ["Grant", "GrantReply", "GrantedSlice", "UpstreamControl"]


class GrantedSlice(msgspec.Struct, array_like=True, frozen=True):
    """A slice as a server is told of it: positions in [start, end)."""

    start: int
    end: int
    fence: ids.Fence


class Grant(msgspec.Struct, frozen=True):
    """Leases slices to a server, or renews, or releases by leaving them out.

    Attributes:
        organisation: Organisation of the service.
        service: Name of the service.
        instance: The run of the server that the grant is for.
        epoch: Epoch of the coordinator.
        sequence: Grows with each grant of an epoch; lower ones are refused.
        expires: End of the lease on the server's own clock, in seconds.
        digest: Names the set of slices.
        slices: The whole set; None when the server has that set already.
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
    """What a server answers to a grant or a look at its clock.

    Attributes:
        instance: The run of the server.
        clock: The server's clock, in seconds.
        accepted: Whether the grant is in force.
        epoch: Highest epoch that the server has seen.
        digest: Names the set of slices it holds.
        draining: Requests in flight on slices that it no longer holds.
        reason: Why a grant was refused.
    """

    instance: str
    clock: float
    accepted: bool = True
    epoch: ids.Epoch = ids.Epoch(0)
    digest: str = ""
    draining: int = 0
    reason: str = ""


class UpstreamControl(abc.ABC):
    """Control of the servers of upstream VMs."""

    @abc.abstractmethod
    async def look(self, address: str, service: ids.ServiceId) -> GrantReply:
        """Reads a server's clock.

        Raises:
            PeerUnavailableError: No answer.
        """

    @abc.abstractmethod
    async def probe(self, address: str) -> None:
        """Checks that a server which takes no grants answers at all.

        Raises:
            PeerUnavailableError: No answer.
        """

    @abc.abstractmethod
    async def grant(self, address: str, grant: Grant) -> GrantReply:
        """Sends a grant. It may take effect even if no answer comes.

        Raises:
            PeerUnavailableError: No answer.
        """

    async def close(self) -> None:
        """Frees connections."""

"""Selects the candidates of a coordinator lease."""

import asyncio

from swiftstile import errors
from swiftstile import ids
from swiftstile.membership import vms
from swiftstile.ownership import leases
from swiftstile.peers import links
from swiftstile.peers import messages
from swiftstile.provider import base

__all__ = ["CANDIDATE_COUNT", "CandidateSelector"]

# With two candidates in two other failure domains, one of them can take over
# after the loss of any domain. Each further candidate would be one more that
# must answer for the lease to stay valid.
CANDIDATE_COUNT = 2


class CandidateSelector:
    """Selects candidates among the entry VMs that answer a ping."""

    def __init__(
        self,
        me: leases.Candidate,
        directory: vms.VmDirectory,
        peers: links.LinkPool,
        timeout_s: float,
    ):
        self._me = me
        self._directory = directory
        self._peers = peers
        self._timeout_s = timeout_s

    def address(self, vm: ids.VmId) -> str:
        """Returns the control address of a VM.

        Raises:
            PeerUnavailableError: The VM isn't listed.
        """
        listed = self._directory.by_id.get(vm)
        if listed is None:
            raise errors.PeerUnavailableError(
                "not in the VM list", step="find VM", peer=vm
            )
        return listed.control_address

    async def choose(
        self, service: ids.ServiceId, keep: list[leases.Candidate]
    ) -> tuple[leases.Candidate, ...]:
        """Returns the candidates in `keep`, topped up with VMs that answer.

        They are spread over as many failure domains as possible, other than
        the one of this VM.
        """
        listed = self._directory.entry_vms(service.organisation)
        pings = [asyncio.ensure_future(self._ping(vm)) for vm in listed]
        answered: list[messages.Pong] = []
        try:
            for ping in asyncio.as_completed(pings):
                pong = await ping
                if pong is not None and not pong.leaving:
                    answered.append(pong)
                chosen = self._best(answered, keep)
                if self._is_spread(chosen):
                    # Don't wait for the timeouts of unreachable VMs.
                    return chosen
        finally:
            for ping in pings:
                ping.cancel()
        return self._best(answered, keep)

    def _best(self, answered, keep) -> tuple[leases.Candidate, ...]:
        chosen = list(keep)
        while len(chosen) < CANDIDATE_COUNT:
            taken = [c.vm for c in chosen] + [self._me.vm]
            rest = [pong for pong in answered if pong.vm not in taken]
            if not rest:
                break
            best = min(rest, key=lambda pong: self._cost(pong, taken))
            chosen.append(leases.Candidate(best.vm, best.incarnation))
        return tuple(chosen)

    def _is_spread(self, chosen: tuple[leases.Candidate, ...]) -> bool:
        """Returns whether there are enough, each in a domain of its own."""
        vms_in_use = [self._me.vm, *(c.vm for c in chosen)]
        domains = {self._domain(vm) for vm in vms_in_use}
        return (
            len(chosen) == CANDIDATE_COUNT
            and len(domains) == CANDIDATE_COUNT + 1
        )

    def _cost(self, pong: messages.Pong, taken: list[ids.VmId]):
        domains = [self._domain(vm) for vm in taken]
        crowd = domains.count(self._domain(pong.vm))
        return crowd, not pong.table_reachable, pong.vm

    def _domain(self, vm: ids.VmId) -> str:
        listed = self._directory.by_id.get(vm)
        return listed.failure_domain if listed else ""

    async def _ping(self, vm: base.Vm) -> messages.Pong | None:
        if vm.id == self._me.vm or vm.state is base.VmState.LEAVING:
            return None
        link = self._peers.to(vm.control_address)
        try:
            return await link.call(
                messages.Ping(self._me.incarnation),
                messages.Pong,
                self._timeout_s,
            )
        except errors.SwiftstileError:
            return None

"""Cuts the links between some VMs and the servers of a test.

A silent cut uses socket filters on the servers' sockets, so that the kernel
drops all packets of a VM: connections hang and their data isn't acknowledged.
VMs are told apart by their addresses.
"""

import asyncio
import collections.abc
import ctypes
import enum
import socket
import struct

_SO_ATTACH_FILTER, _SO_DETACH_FILTER = 26, 27
# Instructions of the classic packet filter: load a word, jump if equal, return.
_LOAD, _JUMP_IF_EQUAL, _RETURN = 0x20, 0x15, 0x06
# Offset of the source address in the IP header, from the network header.
_SOURCE = 0xFFF00000 + 12
_ACCEPT, _DROP = 0xFFFFFFFF, 0


class Cut(enum.Enum):
    """How a VM is cut off from the servers."""

    # Nothing arrives, and nothing is said about it.
    SILENT = "silent"
    # Connections are reset, and new ones at once.
    RESET = "reset"
    # Existing connections live, new ones are reset.
    NO_NEW = "no-new"
    # Requests arrive and run, and no answer does.
    ONE_WAY = "one-way"


def _program(hosts: collections.abc.Collection[str]) -> bytes:
    """Returns a filter that drops the packets of some hosts."""
    sources = [struct.unpack("!I", socket.inet_aton(host))[0] for host in hosts]
    steps = [(_LOAD, 0, 0, _SOURCE)]
    steps += [
        (_JUMP_IF_EQUAL, len(sources) - index, 0, source)
        for index, source in enumerate(sources)
    ]
    steps += [(_RETURN, 0, 0, _ACCEPT), (_RETURN, 0, 0, _DROP)]
    return b"".join(struct.pack("HBBI", *step) for step in steps)


def _drop(sock, hosts: collections.abc.Collection[str]) -> None:
    """Makes a socket drop the packets of some hosts only."""
    if not hosts:
        sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
        return
    code = _program(hosts)
    buffer = ctypes.create_string_buffer(code, len(code))
    sock.setsockopt(
        socket.SOL_SOCKET,
        _SO_ATTACH_FILTER,
        struct.pack("HP", len(code) // 8, ctypes.addressof(buffer)),
    )


def _peer_host(transport) -> str:
    return (transport.get_extra_info("peername") or ("",))[0]


class Door(asyncio.Protocol):
    """Lets a connection in to a server's HTTP protocol, or resets it."""

    def __init__(self, links: "Links", make_protocol):
        self._links = links
        self._make_protocol = make_protocol

    def connection_made(self, transport) -> None:
        """See base class."""
        if self._links.resets_new(_peer_host(transport)):
            transport.abort()
            return
        protocol = self._make_protocol()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)


class Links:
    """The links of all VMs to all servers.

    Attributes:
        cut_by_host: The cut of each VM that is cut off, by its address.
    """

    def __init__(self):
        self.cut_by_host: dict[str, Cut] = {}
        self._listeners: dict[asyncio.Server, object] = {}

    def add(self, listener: asyncio.Server, http_server) -> None:
        """Adds the listener of a server that started."""
        self._listeners[listener] = http_server
        self._filter_listener(listener)

    def remove(self, listener: asyncio.Server) -> None:
        """Removes the listener of a server that stopped."""
        self._listeners.pop(listener, None)

    def resets_new(self, host: str) -> bool:
        """Whether new connections of a VM are reset."""
        return self.cut_by_host.get(host) in (Cut.RESET, Cut.NO_NEW)

    def loses_answers(self, host: str) -> bool:
        """Whether no answer reaches a VM."""
        return self.cut_by_host.get(host) is Cut.ONE_WAY

    def cut(self, hosts: collections.abc.Iterable[str], how: Cut) -> None:
        """Cuts VMs off from all servers."""
        hosts = set(hosts)
        self.cut_by_host.update(dict.fromkeys(hosts, how))
        self._apply()
        for transport in self._transports(hosts):
            if how is Cut.RESET:
                transport.abort()
            elif how is Cut.SILENT:
                _drop(transport.get_extra_info("socket"), hosts)

    def heal(self, hosts: collections.abc.Iterable[str]) -> None:
        """Ends the cuts of VMs."""
        hosts = set(hosts)
        for host in hosts:
            self.cut_by_host.pop(host, None)
        self._apply()
        for transport in self._transports(hosts):
            sock = transport.get_extra_info("socket")
            # Sockets inherit the filter of their listener.
            _drop(sock, ["255.255.255.255"])
            _drop(sock, [])

    def _apply(self) -> None:
        for listener in self._listeners:
            self._filter_listener(listener)

    def _filter_listener(self, listener: asyncio.Server) -> None:
        silent = [h for h, how in self.cut_by_host.items() if how is Cut.SILENT]
        for sock in listener.sockets:
            _drop(sock, silent or ["255.255.255.255"])

    def _transports(self, hosts: set[str]) -> list:
        """Returns the open connections of some VMs."""
        return [
            connection.transport
            for http_server in self._listeners.values()
            for connection in list(http_server.connections)
            if connection.transport is not None
            and connection.transport.get_extra_info("socket").fileno() >= 0
            and _peer_host(connection.transport) in hosts
        ]

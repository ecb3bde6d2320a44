"""The UDP socket of membership gossip."""

import socket
from collections.abc import Callable

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import GOSSIP_REFUSED
from gooseberrydock.gossip import GossipMessage, decode_gossip, encode_gossip
from gooseberrydock.logs import log, log_and_suppress_errors
from gooseberrydock.members import Address
from gooseberrydock.membership import SendGossip

GossipHandler = Callable[[GossipMessage, Address], list[SendGossip]]


@attrs.define(eq=False)
class GossipSocket:
    """UDP socket that counts the bytes it sends and receives."""

    _socket: socket.socket
    _key: bytes
    _bytes_sent: int = 0
    _bytes_received: int = 0

    @property
    def address(self) -> Address:
        """Return the address that the socket is bound to."""
        host, port = self._socket.getsockname()[:2]
        return Address(str(host), int(port))

    @property
    def bytes_sent(self) -> int:
        """Return the number of bytes sent so far."""
        return self._bytes_sent

    @property
    def bytes_received(self) -> int:
        """Return the number of bytes received so far."""
        return self._bytes_received

    def send(self, sends: list[SendGossip]) -> None:
        """Send datagrams; drop those that the socket does not accept, which gossip tolerates."""
        for item in sends:
            data = encode_gossip(item.gossip, self._key)
            try:
                self._socket.sendto(data, (item.address.host, item.address.port))
            except OSError:
                continue
            self._bytes_sent += len(data)

    async def serve(self, handler: GossipHandler) -> None:
        """Receive datagrams and send the handler's responses."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                data, source = self._socket.recvfrom(defaults.RECEIVE_BYTES)
            except OSError:
                # The socket may report here that an earlier datagram was refused. That error
                # contains no new information.
                continue
            self._bytes_received += len(data)
            address = Address(str(source[0]), int(source[1]))
            try:
                gossip = decode_gossip(data, self._key, str(address))
            except GooseberrydockError as error:
                log(GOSSIP_REFUSED, peer=str(address), code=error.code.number)
                continue
            with log_and_suppress_errors(str(address)):
                self.send(handler(gossip, address))


def bind_gossip(address: Address, key: bytes) -> GossipSocket:
    """Bind the UDP socket; port 0 takes any free port."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    new_socket = socket.socket(family, socket.SOCK_DGRAM)
    new_socket.setblocking(False)
    new_socket.bind((address.host, address.port))
    return GossipSocket(new_socket, key)

"""Forwards raw bytes: the lower bound against which the latency of the nodes is measured."""

import socket
import sys

import trio


async def _copy_bytes(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    while True:
        data = await source.receive_some(65_536)
        if not data:
            return
        await sink.send_all(data)


async def _forward(listen_port: int, target_port: int) -> None:
    async def handle_connection(accepted: trio.SocketStream) -> None:
        accepted.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened = await trio.open_tcp_stream("127.0.0.1", target_port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_copy_bytes, accepted, opened)
            nursery.start_soon(_copy_bytes, opened, accepted)

    await trio.serve_tcp(handle_connection, listen_port, host="127.0.0.1")


if __name__ == "__main__":
    trio.run(_forward, int(sys.argv[1]), int(sys.argv[2]))

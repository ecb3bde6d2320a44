"""A server answers an upload before it has read it, without a length, and breaks its answer off."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standins
from standins import Client, Fleet, Request, Server, abort, encode_response, run_case

_UPLOAD_BYTES = 4 * 1024 * 1024
_ANSWER = b"0123456789" * 600
_SENT_OF_ANSWER = 3_000
_BROKEN_SHARE = 0.02
_EPISODES_S = ((0.0, 5.2), (7.0, 12.2))
"""Times in which the server breaks off answers, from the first request."""
_PLAY_S = 13.0
_LOOKUPS_PER_UPLOAD = 50


class BreakingServer:
    """Break off one in fifty answers, those to uploads first."""

    def __init__(self) -> None:
        self.answers = 0
        self.broken_off: list[str] = []
        self.has_trouble = False

    async def serve(
        self,
        server: Server,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request."""
        self.answers += self.has_trouble
        if request.method == "POST" and self._breaks_off():
            server.add_run(request)
            await reader.readexactly(1_024)
            head = encode_response(200, server.answer_headers(request), b"", framed=False)
            writer.write(head + _ANSWER[:_SENT_OF_ANSWER])
            self.broken_off.append(request.request_id)
            server.machine.fleet.record.add(
                "broken-off", request=request.request_id, sent=_SENT_OF_ANSWER, whole=len(_ANSWER)
            )
            # The rest of the upload is unread, so the end of the connection resets it.
            abort(writer)
            return False
        return await serve_whole(server, request, reader, writer)

    def _breaks_off(self) -> bool:
        return self.has_trouble and len(self.broken_off) < int(self.answers * _BROKEN_SHARE)


async def serve_whole(
    server: Server, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Serve one request as a sound server does."""
    request.body = await reader.readexactly(int(request.headers.get("content-length", "0")))
    await server.run(request, writer, _ANSWER)
    return True


async def play(fleet: Fleet) -> list[str]:
    """Send uploads among lookups; return the answers that were not the server's whole answer."""
    machine = fleet.add_machine("photobin", "z1")
    others = [fleet.add_machine("photobin", zone) for zone in ("z2", "z3")]
    fleet.configure(
        {
            "r-up": fleet.route("photobin", "/up/", kind="upload"),
            "r-look": fleet.route("photobin", "/look/"),
        }
    )
    trouble = BreakingServer()
    servers = [Server(machine, "i-1", 0.002, trouble.serve)]
    servers += [Server(other, f"i-{other.zone}", 0.002, serve_whole) for other in others]
    await fleet.start(servers)
    await asyncio.sleep(standins.STABLE_S)
    client, breaches, served, lookups = Client(machine, "c1"), [], 0, 0
    started_at = fleet.record.now()
    for number in itertools.count():
        now_s = fleet.record.now() - started_at
        if now_s > _PLAY_S:
            break
        is_in_episode = any(begin <= now_s < end for begin, end in _EPISODES_S)
        trouble.has_trouble = standins.TROUBLE and is_in_episode
        lookups += _LOOKUPS_PER_UPLOAD
        for lookup in range(_LOOKUPS_PER_UPLOAD):
            request_id = f"l{number:02d}{lookup:03d}"
            response = await client.send("GET", f"/look/{request_id}", request_id)
            served += response.status == 200
        request_id = f"u{number:02d}"
        response = await client.send(
            "POST", f"/up/{request_id}", request_id, 4_000, b"p" * _UPLOAD_BYTES
        )
        is_success = 200 <= response.status < 300 and response.is_complete
        if is_success and response.body != _ANSWER:
            breaches.append(
                f"MIXED: {request_id} was answered {response.status}, sealed "
                f"{response.headers.get('server-seal')}, as complete with {len(response.body)} "
                f"of {len(_ANSWER)} bytes"
            )
    fleet.record.add(
        "summary", answers=trouble.answers, broken_off=len(trouble.broken_off), lookups=served
    )
    if served < lookups / 4:
        raise standins.CannotRun("less than a quarter of the lookups was served")
    return breaches


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, ["z1", "z2", "z3"], play)

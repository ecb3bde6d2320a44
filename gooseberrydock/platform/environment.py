"""Connect a node to the platform's store, announcements, readiness checks and settings file."""

from pathlib import Path

import attrs
import trio

from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import SETTINGS_REFUSED
from gooseberrydock.logs import log
from gooseberrydock.mesh.controllers import StoreKeys, TableDecoder
from gooseberrydock.mesh.node import MeshNode
from gooseberrydock.mesh.options import MeshOptions
from gooseberrydock.platform.announcements import serve_control, serve_readiness
from gooseberrydock.platform.configuration import TABLE_KEY, decode_table
from gooseberrydock.platform.settings import decode_settings
from gooseberrydock.platform.store import (
    LEAVINGS_PREFIX,
    NODES_PREFIX,
    QUARANTINES_PREFIX,
    PlatformStore,
)
from gooseberrydock.stream import Stream


@attrs.define(eq=False)
class PlatformEnvironment:
    """Connect a node to the platform, and track the last valid text of its settings file."""

    _settings_path: Path
    _settings_text: str
    _options: MeshOptions

    @property
    def options(self) -> MeshOptions:
        """Return the settings in force."""
        return self._options

    @property
    def keys(self) -> StoreKeys:
        """Return the store keys of the route table and of what nodes write."""
        return StoreKeys(TABLE_KEY, NODES_PREFIX, LEAVINGS_PREFIX, QUARANTINES_PREFIX)

    @property
    def decode_table(self) -> TableDecoder:
        """Return the decoder of the operator's configuration."""
        return decode_table

    def open_store(self, nursery: trio.Nursery) -> PlatformStore:
        """Create a client of the store."""
        return PlatformStore(self._options.store, nursery)

    async def serve_control(self, node: MeshNode, stream: Stream) -> None:
        """Serve one connection of the local target."""
        await serve_control(node, stream)

    async def serve_readiness(self, node: MeshNode, stream: Stream) -> None:
        """Serve one connection of the platform's readiness checks."""
        await serve_readiness(node, stream)

    def reload(self) -> MeshOptions | None:
        """Read the settings file again and return its settings if they changed and are valid."""
        try:
            text = self._settings_path.read_text(encoding="utf-8")
            if text == self._settings_text:
                return None
            options = decode_settings(text)
        except (OSError, UnicodeDecodeError, GooseberrydockError) as error:
            log(SETTINGS_REFUSED, detail=str(error))
            return None
        self._settings_text = text
        self._options = options
        return options


def create_environment(path: Path) -> PlatformEnvironment:
    """Read the settings for the first time, raising ``OPTION_INVALID`` if they are invalid."""
    text = path.read_text(encoding="utf-8")
    return PlatformEnvironment(path, text, decode_settings(text))

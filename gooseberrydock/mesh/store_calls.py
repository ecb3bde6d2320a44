"""Calls to the store by the tasks that keep a node's facts there beyond all processes."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from gooseberrydock.backoff import Backoff
from gooseberrydock.clock import MS_PER_SECOND
from gooseberrydock.errorcodes import STORE_HISTORY_REPLACED
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.events import CONNECTION_FAULT, FACT_NOT_STORED
from gooseberrydock.logs import log, log_fault
from gooseberrydock.mesh.store import Store
from gooseberrydock.mesh.store_sync import RETRY_POLICY

_Answer = TypeVar("_Answer")


async def repeat_until_done(
    step: Callable[[], Awaitable[None]], key: str, generator: random.Random
) -> None:
    """Repeat a step that calls the store until it succeeds, with delays that grow.

    An error in this program also fails a step, since the task must not end the process.
    """
    backoff = Backoff(generator, RETRY_POLICY)
    while True:
        try:
            await step()
            return
        except GooseberrydockError as error:
            if not backoff.failures:
                log(FACT_NOT_STORED, key=key, code=error.code.number, detail=error.detail)
        except Exception as error:
            log_fault(CONNECTION_FAULT, error, peer=key)
        await trio.sleep(backoff.next_delay_ms() / MS_PER_SECOND)


async def await_answer(store: Store, call: Awaitable[_Answer]) -> _Answer:
    """Return the answer to a call, unless the store came back from an older copy meanwhile."""
    era = store.era
    answer = await call
    if era is not None and store.era != era:
        raise GooseberrydockError(STORE_HISTORY_REPLACED, Step.STORE)
    return answer

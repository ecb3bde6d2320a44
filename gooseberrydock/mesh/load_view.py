"""Describe a node's target and its runs, in the same form for the log and for operators."""

from gooseberrydock.mesh.admission_queue import AdmissionQueue


def describe_load(admission_queue: AdmissionQueue) -> dict[str, float]:
    """Return the calls, concurrency limit, offered load and admitted share of the local target."""
    return {
        "running": len(admission_queue.running),
        "waiting": admission_queue.waiting,
        "limit": admission_queue.limit,
        "offered": round(admission_queue.overload_controller.offered, 2),
        "admitted_share": round(admission_queue.overload_controller.share, 2),
    }


def describe_needs(needs: dict[str, dict[str, float]]) -> dict[str, dict[str, float]]:
    """Return how much each route's runs need the routes that they call."""
    return {
        route: {called: round(need, 2) for called, need in called_needs.items()}
        for route, called_needs in needs.items()
    }

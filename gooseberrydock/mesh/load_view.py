"""What a node tells of its target's load, to its log and to operators alike."""

from gooseberrydock.mesh.admission_queue import AdmissionQueue


def describe_load(admission_queue: AdmissionQueue) -> dict[str, float]:
    """Return what runs, waits and is admitted at the local target."""
    return {
        "running": len(admission_queue.running),
        "waiting": admission_queue.waiting,
        "limit": admission_queue.limit,
        "offered": round(admission_queue.overload_controller.offered, 2),
        "admitted_share": round(admission_queue.overload_controller.share, 2),
    }


def describe_needs(needs: dict[str, dict[str, float]]) -> dict[str, dict[str, float]]:
    """Return how far each route's runs need the routes that they call."""
    return {
        route: {called: round(need, 2) for called, need in below.items()}
        for route, below in needs.items()
    }

"""Routed requests between the targets of a fleet: the call path of nodes that hold a route table.

Callers name a host and a path; a versioned route table says which service runs it. Nodes find one
another through a store with leases, and each node alone decides about the target beside it.
"""

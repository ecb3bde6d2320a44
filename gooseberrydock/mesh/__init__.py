"""The routed call path: requests between the targets of a fleet by means of a route table.

Callers specify a host and a path, and a versioned route table maps them to a service. Nodes
discover each other through a store with leases. Each node alone controls access to its local
target.
"""

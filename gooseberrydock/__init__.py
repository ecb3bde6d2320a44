"""Overload control for service call graphs: one small process beside each target."""

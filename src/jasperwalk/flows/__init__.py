"""Flows of opaque datagrams: routes, node-to-node frames and the codec's interface."""

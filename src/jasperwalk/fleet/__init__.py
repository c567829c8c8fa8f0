"""The fleet's nodes: who announces what to the control replicas, and who learns it."""

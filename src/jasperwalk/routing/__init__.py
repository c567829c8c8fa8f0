"""Connection IDs and the choice of candidates for new flows."""

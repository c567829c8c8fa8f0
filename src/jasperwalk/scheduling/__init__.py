"""Decisions about scarce things: a link's rate, a host's time, a caller's patience; sans-IO."""

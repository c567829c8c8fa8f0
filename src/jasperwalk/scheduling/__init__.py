"""Decides how limited resources are used: a link's rate, a host's slots, callers' time; sans-IO."""

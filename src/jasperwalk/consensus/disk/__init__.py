"""Files of a replica: checksummed frames, log segments, atomic replacement."""

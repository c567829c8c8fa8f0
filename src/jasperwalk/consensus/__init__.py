"""The replicated log: Raft core, durable storage, membership of replicas."""

"""The replicated state machine of control: commands in, outcomes and a routing table out."""

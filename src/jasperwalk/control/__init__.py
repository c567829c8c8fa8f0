"""The control process: replicated state, adapters and operators' HTTP API."""

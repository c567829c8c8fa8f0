"""The replicated state machine of control: applies commands, returns outcomes, keeps the table."""

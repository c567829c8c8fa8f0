"""Publishing table revisions to subscribers and following them."""

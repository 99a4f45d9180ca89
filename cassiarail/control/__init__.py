"""Execute placement plans: memory ledgers, engine orders and inventory."""

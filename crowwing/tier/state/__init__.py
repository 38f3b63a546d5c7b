"""The state that the store machines keep: events in order, and the views folded from them."""

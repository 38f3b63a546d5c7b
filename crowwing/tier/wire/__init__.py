"""The protocol between backends: typed messages in CBOR, in length-prefixed frames over TCP."""

"""What every backend is to know: peer sampling, the relay tree, and the documents that flow down it."""

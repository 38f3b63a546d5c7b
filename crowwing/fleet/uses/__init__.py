"""What is made of the state: loans, quotas, labels, lessons, prints."""

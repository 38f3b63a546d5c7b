"""Tests of the serving tier. None needs the bench, and none sleeps."""

"""Tools for work on the source code; nothing here is a part of the program."""

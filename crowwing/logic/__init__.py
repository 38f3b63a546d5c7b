"""All decisions of a backend: what it takes, runs and turns away. The mechanism is Cinnamon (docs/design.md).

One LoadManager serves one life of one backend, in the types of contract.py. Call begin() once, then for each
moment at which something happened: take() for each ticket read (gives the Ticket on which all its later
news is a call), that news, wake() for the timer asked for, leave() for the notice to stop, and last turn(),
which decides. All but take() return the list of (step, ticket, figure) to carry out, in order. Times are in
microseconds. Drop a ticket once it is `closed`. Nothing here knows a wire or another instance.

This module imports nothing, since the fronts of the serving tier load feedback.py alone.
"""

"""All decisions of a backend: what it admits, runs and rejects. The method is Cinnamon (docs/design.md).

One LoadManager serves one incarnation of one backend; types: contract.py. Call begin() once, then, whenever
something happens: receive() for each request read, the methods of the Request that it returns, on_timer()
for the timer asked for, drain() for the notice to stop, and last decide(). All but receive() return a list of
(step, request, figure), to be carried out in order. Times are in microseconds. Drop a request once it is
`closed`. No wire and no other instance is known here. This module imports nothing, since the fronts of the
serving tier load feedback.py alone.
"""

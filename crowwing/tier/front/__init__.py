"""The front role: the way of a client's request, and batch jobs.

client_connection -> proxy -> service_pool (admission) -> routing -> dispatch (attempts) -> upstream and back;
batch_api takes batch jobs, and batch_job_runner runs their items on the same way from admission on.
"""

"""The front role: the path of client requests, and batch jobs.

client_connection -> proxy -> service_pool (admission) -> routing -> dispatch (attempts) -> upstream and back.
batch_api accepts batch jobs; batch_job_runner runs their items through the same path from admission on.
"""

"""`python -m crowwing` starts one backend; with arguments, it is the command line."""

import signal
import sys

if sys.argv[1:2] == ["tier"]:
    if sys.argv[2:] in (
        ["front"],
        ["store"],
    ):  # a role starts without loading the library of the command line
        from crowwing.tier.startup import bind_listeners, pause_garbage_collection, skip_unused_libraries

        bind_listeners()
        skip_unused_libraries()
        pause_garbage_collection()
        from crowwing.tier.roles import run_role

        sys.exit(run_role(sys.argv[2]))
    from crowwing.tier.cli import main as tier_main

    sys.exit(tier_main(sys.argv[2:]))

if len(sys.argv) > 1:
    from crowwing.cli import main

    sys.exit(main())

# Before any slow import. A SIGHUP would end the process, so it is ignored: the backend reads its
# configuration again once it handles signals. SIGTERM and SIGINT are recorded until then.
early_signals: list[int] = []
signal.signal(signal.SIGHUP, signal.SIG_IGN)
for number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda number, _: early_signals.append(number))

from crowwing.program.main import main  # noqa: E402

sys.exit(main(early_signals))

"""`python -m crowwing` starts one real backend; with a word behind it, it is the command line."""

import sys

if len(sys.argv) > 1:
    from crowwing.cli import main
else:
    from crowwing.program.main import main

sys.exit(main())

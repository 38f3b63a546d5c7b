"""`python -m crowwing` starts one real backend."""

import sys

from crowwing.program.main import main

sys.exit(main())

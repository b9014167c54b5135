"""The command line of the soak."""

import fire

from berylspread_standins.process_soak.run import main

fire.Fire(main)

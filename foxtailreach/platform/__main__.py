"""Entry point of a host: `python3 -m foxtailreach.platform`."""

from __future__ import annotations

import gc
import importlib

# What is imported lives as long as the process: collecting it while it is
# loaded, and on each later collection, takes a tenth of the time of a start.
gc.disable()
serve = importlib.import_module('foxtailreach.platform.serve')
gc.freeze()
gc.enable()

serve.main()

"""Entry point of a host: `python3 -m foxtailreach.platform`."""

from __future__ import annotations

import gc
import importlib

# What is imported lives as long as the process, so it is not collected, neither
# while it is loaded nor later.
gc.disable()
serve = importlib.import_module('foxtailreach.platform.serve')
gc.freeze()
gc.enable()

serve.main()

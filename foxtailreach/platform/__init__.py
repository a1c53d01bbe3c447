"""Adapter to the users' platform: its settings, store, records and headers.

No module outside this package uses the platform's names. Its terms differ
from the project's: a machine is a host here, a zone a failure domain, a tenant
a customer, and a back end a target.
"""

"""Exceptions of the package; each class has its own process exit code."""

from __future__ import annotations

from typing import ClassVar


class FoxtailreachError(Exception):
    """Base class of every error that a user can act on."""

    exit_code: ClassVar[int] = 1


class SettingsError(FoxtailreachError):
    """A settings file is missing, malformed or out of range."""

    exit_code: ClassVar[int] = 2


class ConfigurationError(FoxtailreachError):
    """A change set is malformed or refers to objects that do not exist."""

    exit_code: ClassVar[int] = 3


class PublishConflictError(FoxtailreachError):
    """Another change set was accepted first."""

    exit_code: ClassVar[int] = 4


class PlatformUnavailableError(FoxtailreachError):
    """The platform's log service did not answer."""

    exit_code: ClassVar[int] = 5


class AddressInUseError(FoxtailreachError):
    """A listening address is already taken."""

    exit_code: ClassVar[int] = 6


class ProtocolError(FoxtailreachError):
    """A message of a peer or a record of the log cannot be decoded."""

    exit_code: ClassVar[int] = 7


class GuaranteeViolatedError(FoxtailreachError):
    """A demo run observed that a guarantee was violated."""

    exit_code: ClassVar[int] = 8


class HistoryTrimmedError(FoxtailreachError):
    """The requested records have been trimmed from the platform's log."""

    exit_code: ClassVar[int] = 9


class LogError(FoxtailreachError):
    """A log file cannot be read."""

    exit_code: ClassVar[int] = 10


class NotFoundError(FoxtailreachError):
    """The requested item does not exist."""

    exit_code: ClassVar[int] = 11

"""What the commands of one call share."""

import attrs

from chestnutshift.checks.registry import check_settings
from chestnutshift.conf.exceptions import SettingsError
from chestnutshift.conf.loader import load_settings
from chestnutshift.conf.settings import Settings
from chestnutshift.management.change_sender import ChangeSender
from chestnutshift.management.client import OperatorsClient
from chestnutshift.management.output import Output


@attrs.frozen
class Session:
    """Options that all commands share: settings file, output and dry run."""

    path: str
    output: Output
    dry_run: bool

    @property
    def settings(self) -> Settings:
        """The checked settings; raises SettingsError."""
        settings = load_settings(self.path)
        problems = check_settings(settings)
        if problems:
            raise SettingsError(self.path, tuple(map(str, problems)))
        return settings

    @property
    def client(self) -> OperatorsClient:
        """A client of the VM's operators' port."""
        return OperatorsClient(self.settings)

    @property
    def change_sender(self) -> ChangeSender:
        """A sender of changes to the VM's operators' port."""
        return ChangeSender(self.client, self.output, self.dry_run)

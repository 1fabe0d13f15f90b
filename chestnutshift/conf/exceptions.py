"""Exceptions of settings files and configurations."""

from chestnutshift.exceptions import CodedError


class SettingsError(CodedError):
    """Settings or a configuration can't be read or are invalid."""

    code = 'settings.invalid'

    def __init__(self, path: str, problems: tuple[str, ...]) -> None:
        """Create the error from a file or name and the problems in it."""
        listing = '\n'.join(f'  {problem}' for problem in problems)
        super().__init__(f'{path}:\n{listing}')
        self.path = path
        self.problems = problems

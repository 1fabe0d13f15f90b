"""Errors of settings files."""

from chestnutshift.exceptions import CodedError


class SettingsError(CodedError):
    """A settings file can't be read, or a value in it is not allowed."""

    code = 'settings.invalid'

    def __init__(self, path: str, problems: tuple[str, ...]) -> None:
        """Name the file and each problem found in it."""
        listing = '\n'.join(f'  {problem}' for problem in problems)
        super().__init__(f'{path}:\n{listing}')
        self.path = path
        self.problems = problems

"""Set up logging: plain lines or JSON lines on standard error."""

import json
import logging
import sys

from chestnutshift.conf.settings import LoggingSettings
from chestnutshift.registry import Registry

FORMATTERS: Registry[type[logging.Formatter]] = Registry('form of the log')


@FORMATTERS.register('plain')
class PlainFormatter(logging.Formatter):
    """One line a record: time, level, event number, name, facts."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        stamp = self.formatTime(record)
        head = f'{stamp} {record.levelname.lower()}'
        event = getattr(record, 'event', None)
        if event is None:
            return f'{head} {super().format(record)}'
        parts = {
            'request': event.request,
            'account': event.account,
            'upstream': event.upstream,
            **event.facts,
        }
        told = ' '.join(
            f'{name}={part}' for name, part in parts.items() if part
        )
        return f'{head} {event.number} {event.name} vm={event.vm} {told}'


@FORMATTERS.register('json')
class JsonFormatter(logging.Formatter):
    """One JSON object a record."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        event = getattr(record, 'event', None)
        if event is not None:
            return event.as_json()
        return json.dumps(
            {
                'level': record.levelname.lower(),
                'logger': record.name,
                'message': super().format(record),
            }
        )


def set_up_logging(settings: LoggingSettings) -> None:
    """Send every log record to standard error in the form of the settings."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(FORMATTERS.get(settings.form)())
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    level = settings.level.upper()
    logging.getLogger('chestnutshift').setLevel(level)

"""Logging set-up: plain text or JSON lines on standard error."""

import json
import logging
import sys

from chestnutshift.conf.settings import LoggingSettings
from chestnutshift.registry import Registry

FORMATTERS: Registry[type[logging.Formatter]] = Registry('log form')


@FORMATTERS.register('plain')
class PlainFormatter(logging.Formatter):
    """Formatter of one text line per record: time, level, event and facts."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of text."""
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
        fields = ' '.join(
            f'{name}={part}' for name, part in parts.items() if part
        )
        return f'{head} {event.number} {event.name} vm={event.vm} {fields}'


@FORMATTERS.register('json')
class JsonFormatter(logging.Formatter):
    """Formatter of one JSON object per record."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
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
    """Send all log records to standard error, in the configured form."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(FORMATTERS.get(settings.form)())
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    level = settings.level.upper()
    logging.getLogger('chestnutshift').setLevel(level)

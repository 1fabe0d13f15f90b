"""Look-ups on one VM: selection of entries, shift caps and counting."""

import attrs

from chestnutshift.configuration.model import Preset
from chestnutshift.events.log import EventLog
from chestnutshift.lookup import events
from chestnutshift.lookup.answers import LookupAnswer, Question, choose
from chestnutshift.lookup.deltas import Delta
from chestnutshift.lookup.exceptions import DeltaGapError
from chestnutshift.lookup.outstanding import (
    MoveBudget,
    OutstandingAnswers,
    movable_answers,
)
from chestnutshift.lookup.table import ClientTable, load_table
from chestnutshift.lookup.view import EntryState, LookupView

Move = tuple[str, str]


@attrs.define
class LookupDirectory:
    """The look-up state of one VM.

    budgets maps each shift, by source and target region, to its budget; a
    shift without a budget moves no callers.
    """

    view: LookupView
    outstanding: OutstandingAnswers
    log: EventLog
    budgets: dict[Move, MoveBudget] = attrs.field(factory=dict)
    _unshifted_view: LookupView = attrs.field(init=False)
    _capped: set[Move] = attrs.field(factory=set, init=False)
    _lacks_live_entry: bool = attrs.field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the view for callers that a capped shift can't move."""
        self._unshifted_view = self.view.without_shifts

    @property
    def table(self) -> ClientTable:
        """The table of client blocks in use."""
        return self.view.table

    def update(self, view: LookupView) -> None:
        """Replace the view and reuse the rankings that still apply."""
        view.reuse_rankings(self.view)
        self.view = view
        self._unshifted_view = view.without_shifts

    def load(self, source: bytes) -> bool:
        """Replace the table; return False if the new one is not newer.

        Raise CorruptTableError and keep the current table.
        """
        table = load_table(source)
        if table.number <= self.table.number:
            return False
        self.update(attrs.evolve(self.view, table=table))
        self.log.emit(
            events.TABLE_LOADED,
            number=table.number,
            blocks=len(table),
        )
        return True

    def apply(self, delta: Delta) -> bool:
        """Apply a delta; return False if the table already includes it.

        Raise DeltaGapError if the whole table has to be fetched, and
        InvalidBlockError.
        """
        try:
            changed = self.table.apply(delta)
        except DeltaGapError as error:
            self.log.emit(events.TABLE_GAP, detail=error.detail)
            raise
        if changed:
            self.log.emit(
                events.TABLE_CHANGED,
                number=delta.number,
                changes=len(delta.changes),
            )
        return changed

    def answer(
        self,
        question: Question,
        preset: Preset,
        now: float,
    ) -> LookupAnswer:
        """Answer one look-up and count the answer; raises as choose does."""
        answer = choose(question, self.view, preset, now)
        if answer.shift and not self._may_move(answer, now):
            answer = choose(question, self._unshifted_view, preset, now)
        self.outstanding.record(answer)
        if answer.shift:
            move = (answer.home, answer.region)
            self.outstanding.verify_move(*move, self.budgets[move], now)
        self._log_live_state(answer)
        return answer

    def _may_move(self, answer: LookupAnswer, now: float) -> bool:
        move = (answer.home, answer.region)
        budget = self.budgets.get(move)
        moved = self.outstanding.count_moved(*move, now)
        movable = movable_answers(budget, moved) if budget else 0
        self._log_cap(move, is_capped=not movable)
        return movable > 0

    def _log_cap(self, move: Move, *, is_capped: bool) -> None:
        if is_capped == (move in self._capped):
            return
        if is_capped:
            self._capped.add(move)
        else:
            self._capped.discard(move)
        kind = events.MOVE_HELD if is_capped else events.MOVE_RESUMED
        self.log.emit(kind, source=move[0], target=move[1])

    def _log_live_state(self, answer: LookupAnswer) -> None:
        lacks_live_entry = answer.entries[0].state is not EntryState.LIVE
        if lacks_live_entry == self._lacks_live_entry:
            return
        self._lacks_live_entry = lacks_live_entry
        kind = (
            events.NO_LIVE_ENTRY
            if lacks_live_entry
            else events.LIVE_ENTRY_AGAIN
        )
        self.log.emit(kind, home=answer.home)

"""Token budgets of programs and the stored history of conversations.

A *turn* is one generation on behalf of a program. Before a turn is sent to an
endpoint, the maximum number of tokens that it may generate is reserved from
the program's budget in the *ledger*, a replicated log on the storage
instances. When the turn has ended, the reservation is replaced by the number
of tokens that were generated (it is *settled*).

The input and output of a *retained turn* are stored so that later turns can
continue from it. Retained turns are immutable and identified by the id of
their request. The *chain* of a turn is the content of the retained turns that
it continues, oldest first.
"""

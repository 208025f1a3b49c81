package yardusher.core;

import java.util.Map;
import java.util.function.Consumer;

/** First stage: an order becomes a transaction with a deadline, held until its one final answer. */
final class TakeIn {
    private final Turns turns;
    private final Map<Long, Transaction> open;
    private final Counters counters;
    private final Consumer<Transaction> leaves;
    private long last;

    TakeIn(Turns turns, Map<Long, Transaction> open, Counters counters, Consumer<Transaction> leaves) {
        this.leaves = leaves;
        this.turns = turns;
        this.open = open;
        this.counters = counters;
    }

    Transaction take(Order order, Runnable atDeadline, double graceMs) {
        Transaction transaction = new Transaction(++last, order, turns.now(), leaves);
        open.put(transaction.number, transaction);
        counters.takenIn++;
        transaction.lastCall = turns.deadlines().at(transaction.deadline + graceMs, atDeadline);
        return transaction;
    }
}

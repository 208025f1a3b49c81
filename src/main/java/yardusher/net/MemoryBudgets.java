package yardusher.net;

import yardusher.resp.Decoder;

/**
 * The budgets of the memory that peers can make a process use: large bodies, replies, and commands with their input. Together they
 * leave room in the heap for the program itself and for what each connection takes whatever it does.
 */
public record MemoryBudgets(BodyBudget bodies, ReplyBudget replies, InputBudget input) {
    /** Of the program, and of its connections and customers in small numbers. */
    static final long RESERVED_BYTES = 3L << 20;
    private static final int BODY_HEAP_DIVISOR = 8;
    private static final int REPLY_HEAP_DIVISOR = 4;
    private static final int INPUT_HEAP_DIVISOR = 8;
    private static final int REPLY_PERCENT = 40;     // of what a small heap leaves
    private static final int INPUT_DIVISOR = 6;      // the same for input

    /** The budgets for a process with so much heap. At least one large body always fits. */
    public static MemoryBudgets ofHeap(long heapBytes) {
        long bodies = Math.max(Decoder.MAX_LARGE_BYTES, heapBytes / BODY_HEAP_DIVISOR);
        long left = heapBytes - RESERVED_BYTES - bodies;
        long replies = Math.min(heapBytes / REPLY_HEAP_DIVISOR, left * REPLY_PERCENT / 100);
        long input = Math.min(heapBytes / INPUT_HEAP_DIVISOR, left / INPUT_DIVISOR);
        return new MemoryBudgets(new BodyBudget(bodies), new ReplyBudget(replies), new InputBudget(input));
    }

    /** The same for a frontend that takes no large bodies. */
    public MemoryBudgets withoutBodies() { return new MemoryBudgets(new BodyBudget(0), replies, input); }

    /** Whether no more work may be taken in, until replies are read or commands answered. */
    boolean isExhausted() { return replies.isExhausted() || input.isExhausted(); }

    /** What is held of each, as counters. */
    public String countersLine() { return bodies.countersLine() + " " + replies.countersLine() + " " + input.countersLine(); }
}

package yardusher.subsystem;

import java.io.IOException;
import yardusher.core.RequestAcceptor;
import yardusher.core.RequestLog;
import yardusher.settings.Settings;

/**
 * One part of an ingress that a table of our settings turns on. The program holds them in a list, in the order in which they
 * are made, and knows no more of them than this. Where the table is left out, the part is not made and none of its classes is
 * loaded. All calls but {@link #end} are made in loop.
 */
public interface Subsystem {
    /** The name of its table. */
    String name();

    /** Writes down the core's orders, over what {@code inner} does; by default nothing is added. Before the core is made. */
    default RequestLog wrapRequestLog(RequestLog inner) { return inner; }

    /** Stands between the fronts and the core; by default it does not. Once, when the core is there and the fronts are not. */
    default RequestAcceptor wrapAcceptor(SubsystemContext site, RequestAcceptor inner) throws IOException { return inner; }

    /** Gets what it needs of the ingress, once all of it is made and nothing has been taken yet. */
    default void attach(SubsystemContext site) throws IOException { }

    /** Begins its work; an {@link IOException} ends the start of the program. Before clients are taken. */
    default void start() throws IOException { }

    /**
     * The settings were read anew, null where they cannot be used. Takes over what it can and gives what it took, or what
     * waits for a restart, in a few words; null where nothing differs.
     */
    default String reload(Settings next) { return null; }

    /** Names and values for the counters line, such as {@code orders_open=3}; empty for none. */
    default String countersLine() { return ""; }

    /** What it answers to a call of its own at the second address, lines that are each ended; null where it has no such call. */
    default String report(String call) { return null; }

    /** The process is told to end: what it holds open for others is handed over from now on, in bounded time. */
    default void drain() { }

    /** Whether it has something left to hand over; asked again and again after {@link #drain}, for a bounded time. */
    default boolean isBusy() { return false; }

    /** The last turn: sockets close. */
    default void close() { }

    /** Outside loop, once all is over; may wait for a disk for a bounded time. */
    default void end() { }
}

package yardusher.subsystem;

import java.io.IOException;
import yardusher.core.RequestAcceptor;
import yardusher.core.RequestLog;
import yardusher.settings.Settings;

/**
 * An optional component of an ingress, turned on by a table of the yardusher settings. The program holds them in a list in order of
 * creation and knows only this interface. Without its table, a subsystem is not created and none of its classes is loaded. All
 * methods but {@link #end} are called on the event loop.
 */
public interface Subsystem {
    /** The name of its settings table. */
    String name();

    /** Wraps the request log of the core; by default returns {@code inner}. Called before the core is created. */
    default RequestLog wrapRequestLog(RequestLog inner) { return inner; }

    /** Wraps the acceptor between fronts and core; by default returns {@code inner}. Called once, between the creation of both. */
    default RequestAcceptor wrapAcceptor(SubsystemContext site, RequestAcceptor inner) throws IOException { return inner; }

    /** Receives the components of the ingress, once all are created and before any request is accepted. */
    default void attach(SubsystemContext site) throws IOException { }

    /** Starts, before clients are accepted; an {@link IOException} fails the start of the program. */
    default void start() throws IOException { }

    /**
     * Applies reloaded settings as far as possible; {@code next} is null if they are unusable. Returns a short text on what was
     * applied or needs a restart; null if nothing differs.
     */
    default String reload(Settings next) { return null; }

    /** Names and values for the counters line, such as {@code orders_open=3}; empty if there are none. */
    default String countersLine() { return ""; }

    /** The terminated lines that answer a call at the admin address; null if this subsystem has no such call. */
    default String report(String call) { return null; }

    /** The process is shutting down: from now on hands over the state it holds for others, in bounded time. */
    default void drain() { }

    /** Whether state is left to hand over; polled after {@link #drain}, for a bounded time. */
    default boolean isBusy() { return false; }

    /** Closes the sockets, as the last call on the event loop. */
    default void close() { }

    /** Finishes outside the event loop, after {@link #close}; may wait for a disk for a bounded time. */
    default void end() { }
}

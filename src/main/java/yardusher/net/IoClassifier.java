package yardusher.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.util.Set;

/**
 * Decides what a result of a socket call means; free of I/O. Java passes no errno on: a failure is known by the type of its
 * exception or, where that is general, by the system's text for it. That text depends on the locale, so no verdict that harms a
 * connection or a backend rests on a text that is not known.
 */
public final class IoClassifier {
    /** Texts of the errors that a broken connection reports: ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH and their like. */
    private static final Set<String> BROKEN_TEXTS = Set.of("Connection reset", "Connection reset by peer", "Broken pipe",
            "Connection timed out", "No route to host", "Host is down", "Connection refused", "Software caused connection abort",
            "Network dropped connection on reset");

    /** Texts of the errors of a machine or process that is short of something, or of an interrupted call. */
    private static final Set<String> TRANSIENT_TEXTS = Set.of("Interrupted system call", "Resource temporarily unavailable",
            "No buffer space available", "Cannot allocate memory", "Too many open files", "Too many open files in system",
            "Cannot assign requested address", "No space left on device");

    private IoClassifier() { }

    /** The verdict on the count that a read or write returned: -1 is the end of the stream, a lower one an interrupted call. */
    public static IoVerdict ofCount(int count) {
        if (count >= 0) { return IoVerdict.PROGRESS; }
        return count == -1 ? IoVerdict.PEER_CLOSED : IoVerdict.TRANSIENT;
    }

    /** The verdict on a failed read or write. */
    public static IoVerdict ofTransferFailure(Throwable failure) {
        if (failure instanceof ClosedChannelException) { return IoVerdict.BROKEN; }
        // The JDK reports a failed registration with epoll as an AssertionError, and a lack of buffer memory as an OutOfMemoryError.
        if (failure instanceof Error) { return IoVerdict.TRANSIENT; }
        String text = failure.getMessage();
        if (text != null && BROKEN_TEXTS.contains(text)) { return IoVerdict.BROKEN; }
        return text != null && TRANSIENT_TEXTS.contains(text) ? IoVerdict.TRANSIENT : IoVerdict.UNKNOWN;
    }

    /**
     * The verdict on a failed connect: BROKEN if the peer refused it or cannot be reached, TRANSIENT for what this machine lacks,
     * such as descriptors, ports, buffers or routes. The types of the exceptions tell them apart whatever the locale.
     */
    public static IoVerdict ofConnectFailure(Throwable failure) {
        boolean byPeer = failure instanceof ConnectException || failure instanceof NoRouteToHostException
                || failure instanceof SocketException && BROKEN_TEXTS.contains(String.valueOf(failure.getMessage()));
        return byPeer ? IoVerdict.BROKEN : IoVerdict.TRANSIENT;
    }

    /** Describes a failure in one short text for logs. */
    public static String describe(Throwable failure) {
        if (failure instanceof IOException && failure.getMessage() != null) { return failure.getMessage(); }
        return failure.getClass().getSimpleName() + (failure.getMessage() == null ? "" : ": " + failure.getMessage());
    }
}

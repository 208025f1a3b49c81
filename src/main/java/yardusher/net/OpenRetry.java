package yardusher.net;

import java.io.IOException;
import java.net.BindException;

/** Opens sockets at the start of a process: a call that fails for a lack on this machine is repeated for a while. */
public final class OpenRetry {
    private OpenRetry() { }

    /** Opens a socket. */
    public interface Opening<T> {
        T open() throws IOException;
    }

    /**
     * Repeats a failed call after growing waits until {@code maxMs} have passed, and blocks meanwhile. An address that is in use or
     * not available is not waited for: that is a matter of the configuration.
     */
    public static <T> T open(double maxMs, Opening<T> opening) throws IOException {
        RetryWait retry = new RetryWait();
        while (true) {
            try {
                return opening.open();
            } catch (BindException e) {
                throw e;
            } catch (IOException e) {
                double nowMs = System.nanoTime() / 1e6;
                double waitMs = retry.nextWaitMs(nowMs);
                if (retry.failingForMs(nowMs) > maxMs) { throw e; }
                sleep(waitMs);
            }
        }
    }

    private static void sleep(double waitMs) {
        try {
            Thread.sleep((long) waitMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

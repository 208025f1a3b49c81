package yardusher.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;

/**
 * One connection being established. What fails for a lack on this machine is tried again after a growing wait, with a new socket.
 * Ends with one call of one of its two callbacks, on the event loop, unless it is cancelled. Used on the event loop only.
 */
public final class Connecting {
    private static final double MIN_TRY_MS = 100;    // a peer that had less time than this to answer is not at fault

    private final AsynchronousChannelGroup group;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Consumer<AsynchronousSocketChannel> onConnected;
    private final Consumer<ConnectFailure> onFailed;
    private final RetryWait retry = new RetryWait();
    private AsynchronousSocketChannel channel;       // null before the first socket, and between two
    private Deadlines.Entry timeout;
    private Deadlines.Entry nextTry;
    private double triedAtMs;                        // when the current socket began to connect
    private boolean failedLocally;                   // one try or more
    private boolean abandoned;
    private boolean finished;

    Connecting(AsynchronousChannelGroup group, EventLoop loop, InetSocketAddress address, Consumer<AsynchronousSocketChannel> onConnected,
            Consumer<ConnectFailure> onFailed) {
        this.group = group;
        this.loop = loop;
        this.address = address;
        this.onConnected = onConnected;
        this.onFailed = onFailed;
    }

    /** Begins, with a time limit in milliseconds; infinity for none. */
    Connecting begin(double timeoutMs) {
        if (timeoutMs < Double.POSITIVE_INFINITY) {
            timeout = loop.deadlines().schedule(loop.now() + timeoutMs, () -> fail(isHeldUpLocally() ? ConnectFailure.LOCAL : ConnectFailure.PEER));
        }
        connect();
        return this;
    }

    /** Whether this machine prevents the connection at the moment, or did so until just now. */
    public boolean isHeldUpLocally() { return failedLocally && (channel == null || loop.now() - triedAtMs < MIN_TRY_MS); }

    /** Gives the connection up; no callback follows. A connection that has come up meanwhile is closed. */
    public void cancel() {
        finish();
        closeQuietly(channel);
    }

    /** Tries no more sockets. The callback still tells how the current one ended, which the peer may have accepted. */
    public void abandon() {
        abandoned = true;
        if (channel == null && !finished) {
            loop.deadlines().cancel(nextTry);
            loop.defer(() -> fail(ConnectFailure.LOCAL));
        }
    }

    private void connect() {
        if (finished) { return; }
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException e) {                    // a socket that cannot be made is never the peer's doing
            onLocalFailure();
            return;
        }
        triedAtMs = loop.now();
        AsynchronousSocketChannel current = channel;
        current.connect(address, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void none) { loop.execute(() -> onConnected(current)); }

            @Override
            public void failed(Throwable cause, Void none) { loop.execute(() -> onConnectFailed(current, cause)); }
        });
    }

    private void onConnected(AsynchronousSocketChannel connected) {
        if (finished) {
            closeQuietly(connected);
            return;
        }
        finish();
        Sockets.setNoDelay(connected);
        onConnected.accept(connected);
    }

    private void onConnectFailed(AsynchronousSocketChannel failed, Throwable cause) {
        closeQuietly(failed);
        if (finished) { return; }
        channel = null;
        if (IoClassifier.ofConnectFailure(cause) == IoVerdict.TRANSIENT) { onLocalFailure(); } else { fail(ConnectFailure.PEER); }
    }

    private void onLocalFailure() {
        failedLocally = true;
        channel = null;
        double nowMs = loop.now();
        double waitMs = retry.nextWaitMs(nowMs);
        if (abandoned) {
            loop.defer(() -> fail(ConnectFailure.LOCAL));
            return;
        }
        nextTry = loop.deadlines().schedule(nowMs + waitMs, this::connect);
    }

    private void fail(ConnectFailure failure) {
        if (finished) { return; }
        finish();
        closeQuietly(channel);
        onFailed.accept(failure);
    }

    private void finish() {
        finished = true;
        loop.deadlines().cancel(timeout);
        loop.deadlines().cancel(nextTry);
    }

    private static void closeQuietly(AsynchronousSocketChannel channel) {
        if (channel == null) { return; }
        try {
            channel.close();
        } catch (IOException e) { /* closed either way */ }
    }
}

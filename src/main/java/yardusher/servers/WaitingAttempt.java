package yardusher.servers;

import java.nio.ByteBuffer;
import yardusher.core.Attempt;
import yardusher.core.Deadlines;

/** An attempt that waits for the next available connection to its backend. */
final class WaitingAttempt {
    final Attempt attempt;
    final ByteBuffer[] command;
    Deadlines.Entry limit;
    Deadlines.Entry secondDial;                      // or the next look for a connection
    boolean done;
    double pollLagMs;                                // how long this process took to handle what had arrived, once it is measured
    boolean waitsForRoom;                            // all connections are in use: it is dialled once there is room

    WaitingAttempt(Attempt attempt, ByteBuffer... command) {
        this.attempt = attempt;
        this.command = command;
    }
}

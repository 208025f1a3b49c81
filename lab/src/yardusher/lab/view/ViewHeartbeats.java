package yardusher.lab.view;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * The plain way, to compare with: every member sends a heartbeat to every other, from a list that it was given, and holds
 * whoever was silent for a fixed time to be gone until it is heard again. No helpers, no news, no incarnations.
 */
final class ViewHeartbeats implements ViewNet.Process {
    static final double INTERVAL_MS = 300;
    static final double TIMEOUT_MS = 1500;

    private final ViewNet net;
    private final int self;
    private final List<Integer> nodes;
    private final double[] lastHeardMs;
    final double[] goneAtMs;                           // infinity for who is there
    private double nextHeartbeatMs;
    private double nextCheckMs;
    long goneDeclarations;

    ViewHeartbeats(ViewNet net, int self, List<Integer> nodes) {
        this.net = net;
        this.self = self;
        this.nodes = nodes;
        lastHeardMs = new double[nodes.size()];
        goneAtMs = new double[nodes.size()];
        java.util.Arrays.fill(lastHeardMs, net.now());
        java.util.Arrays.fill(goneAtMs, Double.POSITIVE_INFINITY);
        nextHeartbeatMs = net.now() + net.random().nextDouble() * INTERVAL_MS;
        nextCheckMs = net.now() + TIMEOUT_MS;
    }

    @Override
    public void receive(double now, byte[] body) {
        int from = ByteBuffer.wrap(body).getInt();
        lastHeardMs[from] = now;
        goneAtMs[from] = Double.POSITIVE_INFINITY;
    }

    @Override
    public void tick(double now) {
        if (nextHeartbeatMs <= now) {
            nextHeartbeatMs = now + INTERVAL_MS;
            byte[] heartbeat = ByteBuffer.allocate(28).putInt(self).array();
            for (int other : nodes) {
                if (other != self) { net.send(self, ViewNet.address(other), heartbeat); }
            }
        }
        if (nextCheckMs <= now) {
            nextCheckMs = now + INTERVAL_MS / 3;
            for (int other : nodes) {
                if (other != self && goneAtMs[other] == Double.POSITIVE_INFINITY && now - lastHeardMs[other] > TIMEOUT_MS) {
                    goneAtMs[other] = now;
                    goneDeclarations++;
                }
            }
        }
    }

    @Override
    public double nextTickMs() { return Math.min(nextHeartbeatMs, nextCheckMs); }
}

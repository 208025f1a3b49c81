package yardusher.lab.view;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * The baseline for comparison: every member sends a heartbeat to every other on a fixed list, and considers a member gone after a fixed
 * timeout, until it is heard from again. There are no indirect probes, no gossip and no incarnations.
 */
final class ViewHeartbeats implements ViewNet.Process {
    static final double EVERY_MS = 300;
    static final double SILENT_MS = 1500;

    private final ViewNet net;
    private final int self;
    private final List<Integer> all;
    private final double[] heardAt;
    final double[] goneAt;                           // infinity for members considered alive
    private double nextBeat;
    private double nextLook;
    long lost;

    ViewHeartbeats(ViewNet net, int self, List<Integer> all) {
        this.net = net;
        this.self = self;
        this.all = all;
        heardAt = new double[all.size()];
        goneAt = new double[all.size()];
        java.util.Arrays.fill(heardAt, net.now());
        java.util.Arrays.fill(goneAt, Double.POSITIVE_INFINITY);
        nextBeat = net.now() + net.random().nextDouble() * EVERY_MS;
        nextLook = net.now() + SILENT_MS;
    }

    @Override
    public void heard(double now, byte[] body) {
        int from = ByteBuffer.wrap(body).getInt();
        heardAt[from] = now;
        goneAt[from] = Double.POSITIVE_INFINITY;
    }

    @Override
    public void tick(double now) {
        if (nextBeat <= now) {
            nextBeat = now + EVERY_MS;
            byte[] beat = ByteBuffer.allocate(28).putInt(self).array();
            for (int other : all) {
                if (other != self) { net.send(self, ViewNet.address(other), beat); }
            }
        }
        if (nextLook <= now) {
            nextLook = now + EVERY_MS / 3;
            for (int other : all) {
                if (other != self && goneAt[other] == Double.POSITIVE_INFINITY && now - heardAt[other] > SILENT_MS) {
                    goneAt[other] = now;
                    lost++;
                }
            }
        }
    }

    @Override
    public double next() { return Math.min(nextBeat, nextLook); }
}

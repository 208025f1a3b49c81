package yardusher.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import yardusher.Api.*;

/** The settings that the measurements share: those of a site like the present ones, with more plans. */
final class Target {
    static final int[] BACKENDS = {250, 500, 1000, 2000, 4000, 7700};
    static final int PLANS = 12;                     // rates double from one to the next
    static final double WINDOW_S = 2, LEAST_RATE = 0.5, MOST_UNITS = 4, PEER_PRICE = 0.02;

    private Target() { }

    /** {@code intakePerS} 0: no peers. */
    static Settings settings(int self, int gateways, double intakePerS) {
        List<RequestClass> classes = List.of(new RequestClass(500, 2000, 1, 0, Effect.IDEMPOTENT, Group.ALL, 0, false),
                new RequestClass(800, 2500, 6, 0, Effect.DEDUPLICATED, Group.CELL, 10_000, false));
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < PLANS; i++) {
            double rate = LEAST_RATE * (1 << i);
            plans.add(new Plan(rate, Math.max(MOST_UNITS, WINDOW_S * rate), 0, 1, 0, 0, 0, 0.8));
        }
        return new Settings(self, gateways, 0, 1, classes, plans, new Limits(3, true, intakePerS > 0, 1000),
                new Rules(0.25, 15_000, 3, 1000, 10_000), List.of(), false, intakePerS, MOST_UNITS, 0.02, PEER_PRICE);
    }

    static ServerList list(int backends, ListKind kind) {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < backends; i++) { servers.add(new Server(1000 + i, i % 8, i % 64, 1, 0, Readiness.READY)); }
        return new ServerList(kind, servers);
    }
}

package yardusher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.Api.*;
import org.junit.jupiter.api.Test;

/** A fleet of 200 gateways, driven through the interface, for effects that a few gateways do not show. */
class FleetTest {
    static final int GATEWAYS = 200;
    static final int SERVERS = 40;
    static final Plan PLAN = new Plan(10, 20, 0, 1, 0, 0, 0);       // twenty units over two seconds
    static final Plan CEILING = new Plan(20, 20, 0, 1, 40, 40, 4);

    /** Runs all gateways in steps of 20 ms; messages arrive one step later; servers answer as {@link #outcome} says. */
    static class Fleet {
        final List<Policy> gateways = new ArrayList<>();
        final List<List<Action>> actions = new ArrayList<>();
        final Map<Integer, List<SetTimer>> timers = new HashMap<>();
        final int[] messagesSent = new int[GATEWAYS];
        double now;
        long requestCount;
        int bytes;

        Fleet(Plan plan, double coldFrom, double startedAt) {
            List<Server> servers = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                servers.add(new Server(100 + i, 0, 0, 1, i == 0 ? startedAt : 0, Readiness.READY));
            }
            now = 1000;
            for (int i = 0; i < GATEWAYS; i++) {
                List<Action> list = new ArrayList<>();
                actions.add(list);
                timers.put(i, new ArrayList<>());
                gateways.add(new Policy(new Settings(i, GATEWAYS, 0, 1,
                        List.of(PolicyTest.IDEMPOTENT, PolicyTest.DEDUPLICATED), List.of(plan), new Limits(4, true, true, 1000),
                        new Rules(coldFrom, 10000, 3, 1000, 1000), List.of(), false, 60, 1, 0, 0.01), i, now, list::add));
                gateways.get(i).on(now, new ServerList(ListKind.CACHED, servers));
            }
        }

        Outcome outcome(long server, int classIndex) { return Outcome.SERVED; }

        /** Sends a request and answers it at once. Returns the server, or -1 if it was refused. */
        long ask(int gateway, long customer, int classIndex, int gatewayCount) {
            long id = ++requestCount;
            List<Action> list = actions.get(gateway);
            int from = list.size();
            gateways.get(gateway).on(now, new Request(id, classIndex, 0, customer, now + 2000, 1, 0, gatewayCount));
            for (Action action : List.copyOf(list.subList(from, list.size()))) {
                if (action instanceof Send send) {
                    Outcome outcome = outcome(send.server(), classIndex);
                    gateways.get(gateway).on(now, new AttemptDone(id, 0, send.server(), outcome, 20,
                            outcome == Outcome.SERVED, 0, null));
                    return send.server();
                }
            }
            return -1;
        }

        void step() {
            now += 20;
            List<Tell> messages = new ArrayList<>();
            List<Integer> from = new ArrayList<>();
            for (int i = 0; i < GATEWAYS; i++) {
                for (Action action : actions.get(i)) {
                    if (action instanceof SetTimer timer) { timers.get(i).add(timer); }
                    if (action instanceof Tell tell) {
                        messages.add(tell);
                        from.add(i);
                    }
                }
                actions.get(i).clear();
            }
            for (int i = 0; i < messages.size(); i++) {
                gateways.get(messages.get(i).to()).on(now, new PeerMessage(from.get(i), messages.get(i).body()));
                messagesSent[from.get(i)]++;
                bytes += messages.get(i).body().length();
            }
            for (int i = 0; i < GATEWAYS; i++) {
                List<SetTimer> due = timers.get(i).stream().filter(timer -> timer.atMs() <= now).toList();
                timers.get(i).removeAll(due);
                for (SetTimer timer : due) { gateways.get(i).on(now, new TimerFired(timer.token())); }
            }
        }
    }

    @Test
    void aCustomerFarBeyondItsQuotaOnAllItsGatewaysIsHeldNearIt() {
        Fleet fleet = new Fleet(PLAN, 0.25, 0);
        int sent = 0;
        for (int step = 0; step < 500; step++) {                     // ten seconds at five times the quota
            fleet.step();
            sent += fleet.ask(step * 7 % 100, 5, 0, 100) >= 0 ? 1 : 0;
        }
        assertTrue(sent > 60 && sent < 200, sent + " of 500 sent, the quota holds 120");
    }

    @Test
    void aCustomerWithLowDemandIsNotRefusedWhenItsCountsAreRare() {
        Fleet fleet = new Fleet(PLAN, 0.25, 0);
        for (int step = 0; step < 500; step++) {
            fleet.step();
            if (step % 20 == 10) { assertTrue(fleet.ask(step * 7 % 100, 5, 0, 100) >= 0, "refused at step " + step); }
        }
    }

    @Test
    void anIdleFleetSendsNoMessages() {
        Fleet fleet = new Fleet(PLAN, 0.25, 0);
        for (int step = 0; step < 250; step++) { fleet.step(); }
        assertEquals(0, fleet.bytes);
    }

    @Test
    void gatewayIndexesAboveSixtyAreSentAndMessagesStayWithinTheIntake() {
        Fleet fleet = new Fleet(PLAN, 0.25, 0);
        for (int step = 0; step < 250; step++) {                     // gateways 120 and up get all requests
            fleet.step();
            for (int i = 0; i < 4; i++) { fleet.ask(120 + (step * 4 + i) % 80, 9, 0, 200); }
        }
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            assertTrue(fleet.messagesSent[gateway] <= 5 * 60 * 0.75 * 3 + 70, gateway + " sent " + fleet.messagesSent[gateway]);
        }
        int later = 0;
        for (int gateway = 0; gateway < 100; gateway++) { later += fleet.ask(gateway, 9, 0, 200) >= 0 ? 1 : 0; }
        assertTrue(later < 30, later + " admitted by gateways without earlier requests, of a full quota");
    }

    @Test
    void aCeilingHoldsWhenAFloodComesAndGatewaysRestart() {
        Fleet fleet = new Fleet(CEILING, 0.25, 0);
        int sent = 0;
        for (int step = 1; step <= 250; step++) {                    // five seconds, twenty times the quota
            fleet.step();
            for (int i = 0; i < 8; i++) { sent += fleet.ask((step + 3 * i) % 24, 5, 0, 24) >= 0 ? 1 : 0; }
        }
        assertTrue(sent > 20 && sent <= 40 + 5 * 40 + 4, "sent " + sent);
    }

    @Test
    void aColdServerIsNotOverloadedByManyGatewaysAtOnce() {
        Fleet fleet = new Fleet(new Plan(0, 0, 0, 1, 0, 0, 0), 0.2, 1000);
        Map<Long, Integer> share = new HashMap<>();
        for (int step = 0; step < 100; step++) {
            fleet.step();
            for (int i = 0; i < 40; i++) { share.merge(fleet.ask((step * 40 + i) % GATEWAYS, i, 0, 2), 1, Integer::sum); }
        }
        assertTrue(share.getOrDefault(100L, 0) < 0.6 * share.get(101L), share.get(100L) + " to the cold server");
    }

    @Test
    void aServerThatFailsOneClassIsEjectedForThatClassAlone() {
        Fleet fleet = new Fleet(new Plan(0, 0, 0, 1, 0, 0, 0), 0.25, 0) {
            @Override
            Outcome outcome(long server, int classIndex) {
                return server < 110 && classIndex == 0 ? Outcome.SERVER_ERROR : Outcome.SERVED;
            }
        };
        int failing = 0;
        int other = 0;
        for (int step = 0; step < 150; step++) {
            fleet.step();
            for (int i = 0; i < 20; i++) {
                long server = fleet.ask((step * 20 + i) % GATEWAYS, step * 20 + i, i % 2, 200);
                failing += step > 100 && i % 2 == 0 && server < 110 ? 1 : 0;
                other += step > 100 && i % 2 == 1 && server < 110 ? 1 : 0;
            }
        }
        assertTrue(failing < 40, failing + " of 490 went to servers that fail that class");
        assertTrue(other > 60, other + " of 490 of the other class went to them");
    }
}

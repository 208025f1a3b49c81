package yardusher.lab;

/** scratch */
public final class ViewTry {
    public static void main(String[] a) {
        int n = Integer.parseInt(a[0]);
        double loss = Double.parseDouble(a[1]);
        for (int seed = 1; seed <= Integer.parseInt(a[2]); seed++) {
            long t = System.nanoTime();
            ViewChecker checker = new ViewChecker(5000);
            ViewNet net = new ViewNet(seed, 1.7e12);
            net.lose(loss);
            ViewFleet fleet = new ViewFleet(net, seed, 3, checker, null);
            double joined = fleet.begin(n, 60_000);
            net.until(net.now() + 20_000);
            net.forgetFigures();
            net.until(net.now() + 20_000);
            long sent = 0, bytes = 0;
            for (int i = 0; i < n; i++) { sent += net.sent(i); bytes += net.sentBytes(i); }
            double at = net.now();
            long life = fleet.at(n / 2).membership.life();
            fleet.kill(n / 2);
            double settled = fleet.awaitSettled(n - 1, 30_000);
            var lost = checker.lostAt(life).values().stream().mapToDouble(x -> x - at).sorted().toArray();
            // halves
            for (int i = 0; i < n; i++) { net.side(i, i % 2); }
            net.until(net.now() + 10_000);
            net.heal();
            net.lose(loss);
            double healed = fleet.awaitSettled(n - 1, 60_000);
            System.out.printf("seed %d joined %.0f crash settled %.0f first %.0f last %.0f heal %.0f sent/s %.1f bytes/s %.0f false accused %d lost %d changes %d real %.1f s%n", seed, joined, settled, lost.length > 0 ? lost[0] : -1, lost.length > 0 ? lost[lost.length - 1] : -1, healed,
                    sent / 20.0 / n, bytes / 20.0 / n, checker.falselyAccused().size(), checker.falselyLost().size(), checker.changes(), (System.nanoTime() - t) / 1e9);
            if (fleet.at(0) != null && joined < 0) { System.out.println(fleet.at(0).membership.report(net.now())); }
        }
    }
}

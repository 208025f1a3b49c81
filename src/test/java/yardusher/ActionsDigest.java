package yardusher;

/**
 * Prints one number for all actions of so many fleets by seed, to hold two builds of the module against each other: a
 * refactoring that keeps every decision keeps the number. Arguments: first seed, how many.
 */
public final class ActionsDigest {
    private ActionsDigest() { }

    public static void main(String[] args) {
        long first = Long.parseLong(args[0]), count = Long.parseLong(args[1]), all = 0;
        for (long seed = first; seed < first + count; seed++) {
            FleetRun fleet = new FleetRun(1 + (int) (seed % 8), 2 + (int) (seed % 13), 12, 0.02 * (seed % 10), seed);
            int restarted = (int) (seed % (1 + seed % 8));
            fleet.schedule(1700, () -> fleet.restart(restarted));
            fleet.run(2600);
            all = 31 * all + fleet.digest;
        }
        System.out.printf("%d fleets from seed %d: %016x%n", count, first, all);
    }
}

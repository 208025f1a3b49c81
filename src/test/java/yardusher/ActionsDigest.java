package yardusher;

/**
 * Prints a digest of all actions of a number of simulated fleets, to compare two builds of the module: a refactoring that
 * changes no decision keeps the digest. It hashes {@code Action.toString()}, so the names of the actions and their components
 * count. Arguments: first seed, number of seeds.
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

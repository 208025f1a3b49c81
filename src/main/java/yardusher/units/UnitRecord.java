package yardusher.units;

/**
 * A unit on its way from one home to the next: all that still counts, with times as milliseconds before or after the
 * moment of handing over. {@code holder} is null where no part is out.
 */
record UnitRecord(UnitName name, long customer, Mode mode, int epoch, int next, int grants, boolean repeats, boolean doubt,
        boolean doubtSaid, boolean lastSaid, int doubts, double triedMs, double looseMs, int served, long server, int zone, String holder, long life, long ask, int part, boolean last, double dueMs) { }

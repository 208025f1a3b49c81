package yardusher.units;

/**
 * The state of a unit that is transferred from one home to the next. Times are milliseconds before or after the transfer.
 * {@code holder} and the fields after it describe the granted part; {@code holder} is null if there is none.
 */
record UnitRecord(UnitName name, long customer, Mode mode, int epoch, int next, int grants, boolean repeats, boolean doubt,
        boolean doubtSaid, boolean lastSaid, int doubts, double triedMs, double looseMs, int served, long server, int zone, String holder, long life, long ask, int part, boolean last, double dueMs) { }

package yardusher.units;

/**
 * The state of a unit that is transferred from one home to the next. Times are milliseconds before or after the transfer.
 * {@code holder} and the fields after it describe the granted part; {@code holder} is null if there is none.
 */
record UnitRecord(UnitName name, long customer, Mode mode, int epoch, int nextPart, int grantCount, boolean repeatGranted,
        boolean nextPartUncertain, boolean uncertainPartNumbered, boolean lastPartNumbered, int skippedUncertain,
        double firstGrantedAgoMs, double mayRunForMs,
        int servedParts, long region, int zone, String holder, long holderIncarnation, long requestId, int grantedPart,
        boolean grantedIsLast, double deadlineInMs) { }

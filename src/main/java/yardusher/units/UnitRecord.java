package yardusher.units;

/**
 * A unit on its way from one home to the next: all that still counts, with times as milliseconds before or after the
 * moment of handing over. {@code holder} is null where no part is out.
 */
record UnitRecord(UnitName name, long customer, Mode mode, int epoch, int nextPart, int grantCount, boolean repeatGranted, boolean nextPartUncertain,
        boolean uncertainPartNumbered, boolean lastPartNumbered, int skippedUncertain, double firstGrantedAgoMs, double mayRunForMs, int servedParts, long region, int zone, String holder, long holderIncarnation, long requestId, int grantedPart, boolean grantedIsLast, double deadlineInMs) { }

package yardusher.cli;

/**
 * Decides how a process that was told to end stops taking requests. A next version that serves may be known before the process is told
 * to end, afterwards or not at all, and may vanish again; in each order the frontends stop accepting at the end of the read period at
 * the latest. No I/O and no clock.
 */
final class DrainPlan {
    /** What the process does with its frontends. */
    enum Step {
        NONE,
        /** Leaves new connections to the next version. */
        HAND_OVER,
        /** Accepts what waits, and then no more; may be asked for more than once. */
        CLOSE
    }

    /** Who takes new connections. */
    private enum Intake { OWN, HANDED_OVER, CLOSED }

    private Intake intake = Intake.OWN;
    private boolean draining;
    private boolean successorServes;

    /** The process was told to end. */
    Step begin() {
        draining = true;
        return handOverOnceSuccessorServes();
    }

    /** Whether a next version is there that serves has changed, or was looked at again. */
    Step successorChanged(boolean serves) {
        successorServes = serves;
        return handOverOnceSuccessorServes();
    }

    private Step handOverOnceSuccessorServes() {
        if (!draining || !successorServes || intake != Intake.OWN) { return Step.NONE; }
        intake = Intake.HANDED_OVER;
        return Step.HAND_OVER;
    }

    /** The time is over in which new connections still come. */
    Step acceptPeriodOver() { return closeUnlessHandedOver(); }

    /** The time is over in which requests on their way are still read. */
    Step readPeriodOver() { return closeUnlessHandedOver(); }

    private Step closeUnlessHandedOver() {
        if (intake == Intake.HANDED_OVER && successorServes) { return Step.NONE; }
        intake = Intake.CLOSED;
        return Step.CLOSE;
    }
}

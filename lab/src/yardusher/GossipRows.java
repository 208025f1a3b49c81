package yardusher;

/** Counts the rows in the messages between ingresses, for the lab. */
public final class GossipRows {
    private GossipRows() { }

    /** Number of rows of counts, own or summed, in a message; reports about backends do not count. */
    public static int of(String body, Api.Settings settings) {
        Digits text = new Digits(body, 1);
        text.get(1);
        text.get(2);
        int rows = 0;
        while (text.hasMore()) {
            int kind = (int) text.get(1);
            if (kind < 0) { return rows; }
            if (kind % RowMessage.KINDS >= RowMessage.FAULT) {
                FaultReport.read(kind, text);
            } else if (RowMessage.read(kind, kind / RowMessage.KINDS, text, settings) == null) {
                return rows;
            } else {
                rows++;
            }
        }
        return rows;
    }
}

package yardusher;

/** A failure of a server in one class, or its ejection for that class, as gateways report it to each other. */
record FaultReport(boolean ejected, long server, int classIndex) {
    void put(StringBuilder body) {
        Digits.put(body, ejected ? RowMessage.EJECTION : RowMessage.FAULT, 1);
        Digits.put(body, server, 5);
        Digits.put(body, classIndex, 1);
    }

    /** Reads the fields after the tag; if truncated, the server or the class is -1. */
    static FaultReport read(int kind, Digits text) {
        return new FaultReport(kind != RowMessage.FAULT, text.get(5), (int) text.get(1));
    }
}

package yardusher;

/** A failure of a server in one class, or that it is out for that class: as gateways tell one another. */
record FaultReport(boolean ejected, long server, int classIndex) {
    void put(StringBuilder body) {
        Digits.put(body, ejected ? RowMessage.EJECTION : RowMessage.FAULT, 1);
        Digits.put(body, server, 5);
        Digits.put(body, classIndex, 1);
    }

    /** What begins behind its tag; cut short, it names no server or no class. */
    static FaultReport read(int kind, Digits text) {
        return new FaultReport(kind != RowMessage.FAULT, text.get(5), (int) text.get(1));
    }
}

package yardusher;

/** A failure of a server in one class, or that it is out for that class: as gateways tell one another. */
record Fault(boolean out, long host, int classIndex) {
    void put(StringBuilder body) {
        Digits.put(body, out ? RowText.OUT : RowText.FAULT, 1);
        Digits.put(body, host, 5);
        Digits.put(body, classIndex, 1);
    }

    /** What begins behind its tag; cut short, it names no server or no class. */
    static Fault read(int kind, Digits text) {
        return new Fault(kind != RowText.FAULT, text.get(5), (int) text.get(1));
    }
}

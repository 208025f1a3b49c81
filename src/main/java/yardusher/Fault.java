package yardusher;

/** A failure of a server in one class, or its ejection for that class, as gateways report it to each other. */
record Fault(boolean out, long host, int classIndex) {
    void put(StringBuilder body) {
        Digits.put(body, out ? RowText.OUT : RowText.FAULT, 1);
        Digits.put(body, host, 5);
        Digits.put(body, classIndex, 1);
    }

    /** Reads the fields after the tag; if truncated, the server or the class is -1. */
    static Fault read(int kind, Digits text) {
        return new Fault(kind != RowText.FAULT, text.get(5), (int) text.get(1));
    }
}

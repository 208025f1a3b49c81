package yardusher;

import java.util.ArrayList;
import java.util.List;
import yardusher.Api.Settings;

/** Encoding of a message between gateways: incarnation, sequence number, then faults, rows and loans; at most 256 bytes. */
final class GossipMessage {
    static final int SEQUENCES = Digits.BASE * Digits.BASE;
    private static final String MARK = "m";
    /** Starts the loans. Not a digit, so a version without loans stops reading here. */
    private static final char LOANS = 1;
    private final Settings settings;
    private final StringBuilder body = new StringBuilder(MARK);
    private final StringBuilder loans = new StringBuilder();

    /** {@code greets}: asks a peer that did not know this incarnation for its counts. */
    GossipMessage(Settings settings, int incarnation, boolean greets, int sequence) {
        this.settings = settings;
        Digits.put(body, incarnation + (greets ? Peers.INCARNATIONS : 0), 1);
        Digits.put(body, sequence, 2);
    }

    /**
     * Appends a fault, a loan, a customer's own row or its sums for a peer, unless they do not fit. Any other item needs no bytes, as the
     * message itself conveys it.
     */
    boolean add(Object item, int peer) {
        int before = body.length(), loansBefore = loans.length();
        if (item instanceof FaultReport fault) { fault.put(body); }
        if (item instanceof Customer own) { RowMessage.of(RowMessage.OWN, own, peer).put(body, settings); }
        if (item instanceof CustomerSums sums) { RowMessage.of(RowMessage.SUM, sums.customer(), peer).put(body, settings); }
        if (item instanceof CeilingMessage loan) { loan.put(loans, settings); }
        if (length() <= RowMessage.MAX_MESSAGE_BYTES) { return true; }
        body.setLength(before);
        loans.setLength(loansBefore);
        return false;
    }

    private int length() { return body.length() + (loans.isEmpty() ? 0 : 1 + loans.length()); }

    @Override
    public String toString() { return loans.isEmpty() ? body.toString() : body + Character.toString(LOANS) + loans; }

    private static void readLoans(Digits text, Settings settings, List<Object> items) {
        for (CeilingMessage loan; text.hasMore() && (loan = CeilingMessage.read(text, settings)) != null;) { items.add(loan); }
    }

    /** A decoded message; {@code items} are its faults, rows and loans up to the first that is truncated or unknown at this site. */
    record Decoded(int incarnation, boolean greets, int sequence, List<Object> items) { }

    /** Decodes a message; null if it is not one. */
    static Decoded read(String body, Settings settings) {
        if (!body.startsWith(MARK)) { return null; }
        int loansAt = body.indexOf(LOANS);
        Digits text = new Digits(loansAt < 0 ? body : body.substring(0, loansAt), MARK.length());
        int incarnationMark = (int) text.get(1), sequence = (int) text.get(2);
        if (incarnationMark < 0 || sequence < 0) { return null; }
        List<Object> items = new ArrayList<>();
        while (text.hasMore()) {
            int kind = (int) text.get(1);
            Object item = kind < 0 ? null : kind % RowMessage.KINDS >= RowMessage.FAULT ? FaultReport.read(kind, text)
                    : RowMessage.read(kind, kind / RowMessage.KINDS, text, settings);
            if (item == null) { break; }
            items.add(item);
        }
        if (loansAt >= 0) { readLoans(new Digits(body, loansAt + 1), settings, items); }
        return new Decoded(incarnationMark % Peers.INCARNATIONS, incarnationMark >= Peers.INCARNATIONS, sequence, items);
    }
}

package yardusher.handover;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import yardusher.error.WireError;

/** One line that two processes of one ingress say to each other, decoded once. */
public sealed interface HandoverMessage {
    /** A region is out by hand, or no longer; told back once it holds. */
    record Ban(String region, boolean banned) implements HandoverMessage { }

    /** The oldest ban not yet told back holds. */
    record BanConfirmed() implements HandoverMessage { }

    record Drain(boolean away) implements HandoverMessage { }

    /** What another ingress, or the other process itself, says to the module. */
    record PeerDatagram(int from, String body) implements HandoverMessage { }

    /** To be sent to another ingress from the port that the sender gave up. */
    record SendDatagram(int to, String body) implements HandoverMessage { }

    /** All that was known has been told; what follows are changes. */
    record StateComplete() implements HandoverMessage { }

    /** The newer process takes clients and owns the port of the peers. */
    record Serving() implements HandoverMessage { }

    /** Bytes of a line at the most: a datagram in base 64 and what names it. */
    int MAX_LINE_BYTES = 512;

    /** The line, without its end. */
    default String encode() {
        if (this instanceof Ban ban) { return (ban.banned ? "ban " : "unban ") + ban.region; }
        if (this instanceof Drain drain) { return drain.away ? "away" : "back"; }
        if (this instanceof PeerDatagram heard) { return "heard " + heard.from + " " + base64(heard.body); }
        if (this instanceof SendDatagram send) { return "send " + send.to + " " + base64(send.body); }
        return this instanceof BanConfirmed ? "held" : this instanceof StateComplete ? "whole" : "serving";
    }

    private static String base64(String body) { return Base64.getEncoder().encodeToString(body.getBytes(StandardCharsets.UTF_8)); }

    /** Reads a line without its end; a {@link WireError.Malformed} for one that is none of these. */
    static HandoverMessage parse(String line) {
        String[] words = line.split(" ", -1);
        String name = words[0] + " " + (words.length - 1);
        switch (name) {
            case "ban 1", "unban 1" -> { return new Ban(words[1], words[0].equals("ban")); }
            case "held 0" -> { return new BanConfirmed(); }
            case "away 0", "back 0" -> { return new Drain(words[0].equals("away")); }
            case "whole 0" -> { return new StateComplete(); }
            case "serving 0" -> { return new Serving(); }
            case "heard 2", "send 2" -> {
                try {
                    int number = Integer.parseInt(words[1]);
                    String body = new String(Base64.getDecoder().decode(words[2]), StandardCharsets.UTF_8);
                    return words[0].equals("heard") ? new PeerDatagram(number, body) : new SendDatagram(number, body);
                } catch (IllegalArgumentException e) { // no number, or no Base64
                    throw new WireError.Malformed(null, "no datagram in a word between two processes of an ingress", e);
                }
            }
            default -> throw new WireError.Malformed(null, "no word between two processes of an ingress");
        }
    }
}

package yardusher.handover;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import yardusher.error.WireError;

/** A message between two processes of one ingress, encoded as one line. */
public sealed interface HandoverMessage {
    /** A region is banned, or no longer; confirmed by {@link BanConfirmed} once it holds. */
    record Ban(String region, boolean banned) implements HandoverMessage { }

    /** Confirms the oldest unconfirmed ban. */
    record BanConfirmed() implements HandoverMessage { }

    record Drain(boolean away) implements HandoverMessage { }

    /** A message for the module from another ingress or from the other process itself. */
    record PeerDatagram(int from, String body) implements HandoverMessage { }

    /** A datagram to be sent to another ingress from the peer port, which the sender no longer owns. */
    record SendDatagram(int to, String body) implements HandoverMessage { }

    /** The whole state has been sent; changes follow. */
    record StateComplete() implements HandoverMessage { }

    /** The newer process accepts clients and owns the peer port. */
    record Serving() implements HandoverMessage { }

    /** Maximum bytes of a line: a datagram in Base64 and its header. */
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

    /** Decodes a line without its end; a {@link WireError.Malformed} if it is none of these. */
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
                } catch (IllegalArgumentException e) { // not a number, or not Base64
                    throw new WireError.Malformed(null, "malformed datagram in a hand-over message", e);
                }
            }
            default -> throw new WireError.Malformed(null, "unknown hand-over message");
        }
    }
}

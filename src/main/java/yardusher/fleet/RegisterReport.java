package yardusher.fleet;

import java.time.Instant;
import java.util.Map;
import yardusher.register.RegisterNode;
import yardusher.register.RegisterView;
import yardusher.register.Work;

/** What an operator is shown of the register, as lines of words and values that are parted by tabs. */
final class RegisterReport {
    private RegisterReport() { }

    /** {@code old}: the member's own copy, since no majority answered. */
    static String text(RegisterView view, boolean old, FleetSettings settings, RegisterNode node, Map<String, String> members) {
        StringBuilder out = new StringBuilder(512);
        line(out, "register", "installation", settings.installation(), "member", settings.member(), "leader",
                node.leader() == null ? "-" : node.leader(), "term", node.term(), "applied", view.appliedIndex(), "state",
                old ? "possibly old: no majority answers, work stops, instances go on" : "current");
        members.forEach((name, address) -> line(out, "member", "name", name, "address", address, "leads", name.equals(node.leader())));
        for (Work work : view.works().values()) {
            line(out, "work", "kind", work.kind().label(), "id", work.id(), "state", work.state().name().toLowerCase(java.util.Locale.ROOT),
                    "holder", work.isHeld() ? work.holder() : "-", "token", work.token(), "since",
                    work.isHeld() ? Instant.ofEpochMilli(work.grantedAtMs()) : "-", "by", work.requestedBy(), "ordered", Instant.ofEpochMilli(work.requestedAtMs()),
                    "order", work.spec().isEmpty() ? "-" : work.spec(), "progress", work.note().isEmpty() ? "-" : work.note());
        }
        for (String one : view.history()) { line(out, "history", "event", one); }
        return out.toString();
    }

    private static void line(StringBuilder out, String what, Object... pairs) {
        out.append(what);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            out.append('\t').append(pairs[i]).append('=').append(String.valueOf(pairs[i + 1]).replaceAll("[\\t\\r\\n]", " "));
        }
        out.append('\n');
    }
}

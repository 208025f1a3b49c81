package yardusher.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;
import yardusher.core.EventLoop;
import yardusher.error.CommandError;
import yardusher.error.WireError;
import yardusher.error.YardusherError;
import yardusher.net.RespServer;
import yardusher.net.Sockets;
import yardusher.register.WorkKind;
import yardusher.register.Member;
import yardusher.register.Operation;
import yardusher.register.RegisterView;
import yardusher.resp.Encoder;
import yardusher.resp.Value;

/**
 * Handles the incoming FLEET commands: Raft messages, operations and step requests of other members, and operators'
 * commands. In loop.
 */
final class FleetCommandHandler {
    private static final double TRY_AGAIN_MS = 60;

    private final FleetSettings settings;
    private final EventLoop loop;
    private final RegisterParticipant participant;
    private final PeerDirectory peers;
    private final StepExecutor stepExecutor;

    FleetCommandHandler(FleetSettings settings, EventLoop loop, RegisterParticipant participant, PeerDirectory peers, StepExecutor stepExecutor) {
        this.settings = settings;
        this.loop = loop;
        this.participant = participant;
        this.peers = peers;
        this.stepExecutor = stepExecutor;
    }

    /** Answers a FLEET command, now or later. */
    void command(byte[][] words, RespServer.Slot slot) {
        String name = new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        if (words.length < 2 || !new String(words[1], StandardCharsets.UTF_8).equals(settings.installation())) {
            slot.answer(failure("ERR this agent belongs to installation " + settings.installation()));
            return;
        }
        try {
            switch (name) {
                case "FLEET.RAFT" -> raftMessage(words, slot);
                case "FLEET.OP" -> operation(words, slot);
                case "FLEET.SEAL", "FLEET.DO" -> {
                    String[] texts = new String[words.length - 1];
                    texts[0] = name;
                    for (int i = 2; i < words.length; i++) { texts[i - 1] = new String(words[i], StandardCharsets.UTF_8); }
                    stepExecutor.command(texts, answer -> slot.answer(encoded(answer)));
                }
                case "FLEET.ASK" -> operatorCommand(words, slot);
                case "FLEET.READ" -> read(slot);
                case "FLEET.MEMBERS" -> slot.answer(new Encoder(256).bulk(membersText()).toBytes());
                case "FLEET.CHANGE" -> change(text(words, 2), text(words, 3).equals("in"), slot);
                default -> slot.answer(failure("ERR unknown command"));
            }
        } catch (IOException e) {
            slot.answer(failure("ERR " + new WireError.Malformed(null, String.valueOf(e.getMessage())).getMessage()));
        } catch (YardusherError e) {
            slot.answer(failure("ERR " + e.getMessage()));
        }
    }

    private static byte[] failure(String text) { return new Encoder(64).error(text).toBytes(); }

    private static byte[] encoded(Value answer) {
        return answer instanceof Value.ErrorReply failure ? failure(failure.text())
                : new Encoder(256).bulk(((Value.BulkString) answer).bytes()).toBytes();
    }

    private static String text(byte[][] words, int at) {
        if (at >= words.length) { throw new CommandError.Argument("wrong number of arguments"); }
        return new String(words[at], StandardCharsets.UTF_8);
    }

    private void raftMessage(byte[][] words, RespServer.Slot slot) throws IOException {
        if (words.length != 4) { throw new CommandError.Argument("wrong number of arguments"); }
        if (peers.peer(text(words, 2)) == null) { throw new CommandError.NotFound("no member " + text(words, 2)); }
        participant.node().receive(words[3]);
        slot.answer(new Encoder(16).simpleString("OK").toBytes());
    }

    /** Handles an operation from a member that takes this one for the leader. */
    private void operation(byte[][] words, RespServer.Slot slot) throws IOException {
        if (words.length != 3 || words[2].length > Operation.MAX_BYTES) { throw new CommandError.Argument("an operation of at most " + Operation.MAX_BYTES + " bytes is needed"); }
        answer(Operation.decode(words[2]), slot);
    }

    private void answer(Operation op, RespServer.Slot slot) {
        participant.askLocal(op, (answer, leader) -> slot.answer(answer == null
                ? failure("TRYAGAIN " + (leader == null ? "nobody leads" : leader + " leads"))
                : new Encoder(128).bulk(answer.encode()).toBytes()));
    }

    /** Handles an operator's command with its id. Any agent can be asked; it passes the operation to the register. */
    private void operatorCommand(byte[][] words, RespServer.Slot slot) {
        String command = text(words, 2);
        if (!command.matches("[0-9a-zA-Z-]{8,64}")) { throw new CommandError.Argument("a command's id is 8 to 64 letters, digits and '-'"); }
        String by = text(words, 3);
        if (!by.matches("[!-~]{1,64}")) { throw new CommandError.Argument("who orders is up to 64 printable characters"); }
        String verb = text(words, 4);
        long now = System.currentTimeMillis();
        Operation op = switch (verb) {
            case "roll" -> new Operation.Submit(command, by, now, WorkKind.ROLL, RollSpec.of(text(words, 5)).toString(),
                    text(words, 6).equals("take-over"));
            case "ban", "unban" -> {
                String region = text(words, 5);
                if (!region.matches(yardusher.register.Bans.REGION_PATTERN)) { throw new CommandError.Argument("no name of a region: " + region); }
                yield new Operation.Submit(command, by, now, WorkKind.BANS, region + (verb.equals("ban") ? " out" : " in"), false);
            }
            case "stop" -> new Operation.Stop(command, by, now, WorkKind.of(text(words, 5)));
            case "step-down" -> new Operation.StepDown(command, by, WorkKind.of(text(words, 5)));
            case "admit" -> {
                Sockets.parseAddress(text(words, 6));
                yield new Operation.Admit(command, new Member(text(words, 5)).name(), text(words, 6));
            }
            case "forget" -> new Operation.Forget(command, new Member(text(words, 5)).name());
            default -> throw new CommandError.Unknown("no order " + verb);
        };
        participant.untilAnswered(op, loop.now() + 4000, answer -> {
            if (answer == null) {
                slot.answer(failure("TRYAGAIN no majority of the agents answers; it is not known whether the order was taken. Ask again with id " + command));
            } else if (!answer.ok()) {
                slot.answer(failure("REFUSED " + answer.text()));
            } else if (op instanceof Operation.Admit admit) {
                changeMemberUntil(admit.member(), true, loop.now() + 4000, slot, answer.text());
            } else if (op instanceof Operation.Forget forget) {
                changeMemberUntil(forget.member(), false, loop.now() + 4000, slot, answer.text());
            } else {
                slot.answer(new Encoder(128).bulk(answer.text()).toBytes());
            }
        });
    }

    /** Changes the group's membership at the leader; retries until it is done or {@code until} has passed. */
    private void changeMemberUntil(String member, boolean in, double until, RespServer.Slot slot, String text) {
        Consumer<Boolean> then = done -> {
            if (done) {
                slot.answer(new Encoder(128).bulk(text).toBytes());
            } else if (loop.now() > until || participant.isClosed()) {
                slot.answer(failure("TRYAGAIN the members could not be changed yet; ask again"));
            } else {
                loop.deadlines().schedule(loop.now() + TRY_AGAIN_MS, () -> changeMemberUntil(member, in, until, slot, text));
            }
        };
        participant.change(member, in, then);
    }

    private void change(String member, boolean in, RespServer.Slot slot) {
        participant.changeLocal(new Member(member).name(), in, done ->
                slot.answer(done ? new Encoder(16).bulk("done").toBytes() : failure("TRYAGAIN not now")));
    }

    /** Reads the whole state through the register, or falls back to the local copy and says so. */
    private void read(RespServer.Slot slot) {
        participant.untilAnswered(new Operation.Read(), loop.now() + 1500, answer -> {
            try {
                RegisterView view = answer == null || answer.state() == null ? participant.view() : RegisterView.of(answer.state());
                slot.answer(new Encoder(1024).bulk(RegisterReport.text(view, answer == null, settings,
                        participant.node(), participant.addresses())).toBytes());
            } catch (IOException e) {
                slot.answer(failure("ERR " + e.getMessage()));
            }
        });
    }

    private String membersText() {
        StringBuilder out = new StringBuilder();
        participant.addresses().forEach((name, address) -> out.append(name).append(' ').append(address).append('\n'));
        return out.toString();
    }
}

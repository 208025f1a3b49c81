package yardusher.units;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import yardusher.error.YardusherError;
import yardusher.file.Toml;
import yardusher.resp.Call;

/** What units of work consist of: names, words in lists, messages, the post between ingresses, the table's bounds, the model. */
class UnitsTest {
    private static byte[][] words(String list) {
        return new byte[][] {"CALL.GET".getBytes(), "0000000000000005".getBytes(), "0000000000000007".getBytes(),
            list.getBytes(StandardCharsets.ISO_8859_1)};
    }

    private static String encodedFields(Call call) { return new String(call.encoded(9)[0].array(), StandardCharsets.ISO_8859_1); }

    @Test
    void unitFieldsAreReadAndNotForwarded() {
        String list = "u=n2.3f.1,c=lookup,t=basis,d=480,p=2,units=1,spread=1,first=0,b=end";
        Call call = Call.parseWithUnit(words(list), false);
        assertThat(call.unit()).hasToString("UnitWord[unit=n2.3f.1, part=2, said=END]");
        assertThat(encodedFields(call)).contains("\r\nc=lookup,t=basis,d=9,units=1,spread=1,first=0\r\n");
        assertThat(encodedFields(Call.parseWithUnit(words(list), true))).contains("u=n2.3f.1,c=lookup,t=basis,d=9,p=2,units=1,spread=1,first=0,b=end");
        assertThat(Call.parseWithUnit(words("c=lookup,t=basis,d=480,units=1,spread=1,first=0"), false).unit()).isNull();
        assertThatThrownBy(() -> Call.parse(words(list))).hasMessageContaining("unknown name in list"); // off
    }

    @ParameterizedTest
    @ValueSource(strings = {"p=1", "u=n.1.1", "u=n.1.1,p=0", "u=n.1.1,p=x", "u=n.1.1,p=1,p=2", "u=n.1.1,u=n.1.1,p=1", "b=shut,u=n.1.1", "b=end", "b=open,p=1",
        "b=abandon,u=n.1.1,p=1", "u=,p=1", "u=n.1.1,p=9999999"})
    void inconsistentUnitFieldsAreRejected(String words) {
        assertThatThrownBy(() -> Call.parseWithUnit(words("c=lookup,t=basis,d=480,units=1,spread=1,first=0," + words), false)).isInstanceOf(YardusherError.class);
    }

    @Test
    void unitNameRoundTripsAndRejectsMalformedText() {
        UnitName name = new UnitName("a.b-c", 0x7fffffffffffL, 300);
        assertThat(name).hasToString("a.b-c.7fffffffffff.12c");
        assertThat(UnitName.parse(name.toString())).isEqualTo(name);
        for (String no : List.of("", "a", "a.1", ".1.1", "a..1", "a.0.1", "a.1.0", "a.g.1", "a.-1.1", "a.1.1111111111111111", "a".repeat(99) + ".1.1")) {
            assertThat(UnitName.parse(no)).as(no).isNull();
        }
    }

    private static Toml toml(Path folder, String text) throws IOException {
        Path file = folder.resolve("own.toml");
        Files.writeString(file, text);
        return Toml.read(file, toml -> toml);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"most_open = 0 | units.most_open must be a whole number from 1 to 1000000", "idle_ms = 10 | units.idle_ms must be",
        "when_unsure = 'guess' | units.when_unsure must be one of refuse, send", "modes = 1 | unknown key units.modes", "pass_on = 1 | units.pass_on must be true or false",
        "mode = [{plan = 'a', mode = 'statement'}] | units.mode.mode must be one of session, unit, single",
        "mode = [{plan = 'a'}, {plan = 'a'}] | names the plan a twice"})
    void invalidSettingsNameTheKeyAndTheAllowedValues(String line, String message, @TempDir Path folder) throws IOException {
        Toml file = toml(folder, "[units]\n" + line + "\n");
        assertThatThrownBy(() -> UnitSettings.of(file)).hasMessageContaining(message.strip());
    }

    @Test
    void modeForAnUnknownPlanIsRejected(@TempDir Path folder) throws IOException {
        UnitSettings settings = UnitSettings.of(toml(folder, "[units]\nmode = [{plan = 'gold', mode = 'unit'}]\n"));
        assertThat(settings.modeOf("gold")).isEqualTo(Mode.UNIT);
        assertThat(settings.modeOf("basis")).isEqualTo(Mode.SINGLE);
        assertThatThrownBy(() -> settings.check(List.of("basis"))).hasMessageContaining("unknown plan gold");
        assertThat(UnitSettings.of(toml(folder, ""))).isNull();
    }

    @Test
    void docsShowTheBoundaryRules() throws IOException { assertThat(Files.readString(Path.of("docs/units.md"))).contains(BoundaryRule.markdownTable()); }

    @Property(tries = 3000)
    void malformedDatagramsAreCountedAndDropped(@ForAll byte[] bytes) {
        List<String> delivered = new ArrayList<>();
        ReliableTransport transport = new ReliableTransport("a", 1, () -> 5, callbacks(new ArrayDeque<>(), delivered));
        transport.receive(0, bytes);
        assertThat(delivered).isEmpty();
        assertThat(transport.malformed + transport.unknownSenders + transport.stale).isEqualTo(1);
        try {
            Message.decode(bytes);
        } catch (IOException e) { /* it is none */ }
    }

    private static ReliableTransport.Callbacks callbacks(ArrayDeque<byte[]> sent, List<String> delivered) {
        return new ReliableTransport.Callbacks() {
            @Override
            public boolean isKnown(String name) { return name.length() == 1; }

            @Override
            public void sendDatagram(String to, byte[] datagram) { sent.add(datagram); }

            @Override
            public void onMessage(String from, long life, byte[] body) { delivered.add(life + ":" + new String(body, StandardCharsets.ISO_8859_1)); }

            @Override
            public void onNewIncarnation(String name, long life) { }
        };
    }

    /** Between two lives that last, each message comes exactly once, whatever the way does; one of a life that is over never comes. */
    @Property(tries = 300)
    void messagesAreDeliveredOnceDespiteLossDuplicatesDelayAndRestarts(@ForAll long seed) {
        Random random = new Random(seed);
        List<ArrayDeque<byte[]>> networks = List.of(new ArrayDeque<>(), new ArrayDeque<>());
        List<byte[]> delayed = new ArrayList<>();
        List<List<String>> delivered = List.of(new ArrayList<>(), new ArrayList<>());
        ReliableTransport[] transports = new ReliableTransport[2];
        long[] incarnations = {11, 12};
        for (int i = 0; i < 2; i++) { transports[i] = new ReliableTransport(i == 0 ? "a" : "b", incarnations[i], random::nextLong, callbacks(networks.get(i), delivered.get(i))); }
        int sent = 0;
        boolean restarted = false;
        int sentBeforeRestart = 0;
        List<String> sentAfterRestart = new ArrayList<>();
        for (double now = 0; now < 20_000; now += 5) {
            boolean reliable = now > 8000;
            if (!reliable && random.nextInt(20) == 0) {
                transports[0].send(now, "b", ("m" + ++sent).getBytes(), Double.POSITIVE_INFINITY);
                if (restarted) { sentAfterRestart.add("m" + sent); } else { sentBeforeRestart = sent; }
            }
            if (!restarted && now > 4000) {          // b begins anew; what was said to it before is void for its new life
                restarted = true;
                transports[1] = new ReliableTransport("b", 13, random::nextLong, callbacks(networks.get(1), delivered.get(1)));
                delivered.get(1).clear();
            }
            for (int i = 0; i < 2; i++) {
                transports[i].tick(now);
                for (byte[] datagram; (datagram = networks.get(i).poll()) != null;) {
                    if (!reliable && random.nextInt(3) == 0) { continue; }
                    if (!reliable && random.nextInt(4) == 0) { delayed.add(datagram); }
                    transports[1 - i].receive(now, datagram);
                    if (random.nextInt(5) == 0) { transports[1 - i].receive(now, datagram); }
                }
            }
            if (!delayed.isEmpty() && random.nextInt(30) == 0) { // some of it to whom it was not sent to, which is as good as made up
                transports[random.nextInt(2)].receive(now, delayed.get(random.nextInt(delayed.size())));
            }
        }
        List<String> deliveredToB = delivered.get(1).stream().map(one -> one.substring(3)).toList();
        assertThat(delivered.get(1)).allMatch(one -> one.startsWith("11:")).doesNotHaveDuplicates();
        int lastBeforeRestart = sentBeforeRestart;
        // What was queued when it began anew goes to one life or the other; what was sent after it was known goes to the new one.
        assertThat(deliveredToB).allMatch(one -> Integer.parseInt(one.substring(1)) > 0);
        assertThat(sentAfterRestart.stream().filter(one -> Integer.parseInt(one.substring(1)) > lastBeforeRestart + 40).toList()).allMatch(deliveredToB::contains);
        assertThat(transports[0].unacknowledgedCount()).isZero();
    }

    @Test
    void tableStaysBoundedWithAHundredThousandOpenUnits() {
        int[] ended = new int[1];
        UnitTable table = new UnitTable("n0", 7, new UnitTable.Limits(100_000, 1_000_000, 30_000, 1000), new Unit.Rules(16, 100), new Unit.Listener() {
            @Override
            public void onGrant(Unit unit, Ticket ticket, int grant) { }

            @Override
            public void onRefuse(Unit unit, Ticket ticket, Refusal why, long figure) { }

            @Override
            public void onQueued(Unit unit, Ticket ticket) { }

            @Override
            public void handleOutcome(Unit unit, Ticket ticket) { }

            @Override
            public void onEnded(Unit unit) { ended[0]++; }
        });
        for (int i = 0; i < 100_000; i++) { assertThat(table.open(i * 0.01, i, Mode.UNIT)).isNotNull(); }
        assertThat(table.open(1000.5, 1, Mode.UNIT)).isNotNull(); // the longest silent one gave way
        assertThat(table.open(900, 1, Mode.UNIT)).isNull(); // none has been silent for a second
        for (int i = 0; i < 300_000; i++) { table.open(2000 + i * 0.02, i, Mode.UNIT); }
        assertThat(table.size()).isLessThanOrEqualTo(100_000);
        assertThat(ended[0]).isEqualTo(table.counts.opened - table.size());
        table.tick(100_000, 1_000_000);
        assertThat(table.size()).isZero();
    }

    @Test
    void everyStateOfASmallPairKeepsTheRules() {
        UnitsModel.Result single = UnitsModel.explore(Mode.UNIT, Mode.SINGLE, UnitsModel.Fault.NONE, 1, UnitsModel.Omission.NOTHING, 1_000_000);
        assertThat(single.breachPath()).isNull();
        assertThat(single.states()).isGreaterThan(50_000);
    }

    @ParameterizedTest
    @EnumSource(value = UnitsModel.Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void nearestStatesAfterAFaultKeepTheRules(UnitsModel.Fault fault) { // all of them are more than a test has time for
        List<String> breach = UnitsModel.explore(Mode.UNIT, Mode.SINGLE, fault, 1, UnitsModel.Omission.NOTHING, 60_000).breachPath();
        assertThat(breach == null || breach.get(breach.size() - 1).contains("more than")).as(String.valueOf(breach)).isTrue();
    }

    @ParameterizedTest
    @EnumSource(value = UnitsModel.Omission.class, names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
    void omittedRuleIsCaughtByTheModel(UnitsModel.Omission omission) {
        UnitsModel.Fault fault = omission == UnitsModel.Omission.SEALING ? UnitsModel.Fault.HOME_TRANSFERS : UnitsModel.Fault.NONE;
        List<String> breach = UnitsModel.explore(Mode.UNIT, Mode.SINGLE, fault, 2, omission, 1_000_000).breachPath();
        assertThat(breach).isNotNull();
        assertThat(breach.get(breach.size() - 1)).startsWith("BREACH").doesNotContain("more than");
    }
}

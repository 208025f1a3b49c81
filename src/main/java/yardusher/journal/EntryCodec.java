package yardusher.journal;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import yardusher.Api;
import yardusher.core.RequestLog;

/**
 * Entries as protobuf messages, in the fields of journal.proto. Written with the runtime's streams and no generated
 * classes: a message here is a dozen numbers, and the streams alone are two classes to load instead of hundreds.
 */
final class EntryCodec {
    private static final int OPENED = 1, CARRIED = 2, SNAPSHOT_END = 3, TAKEN = 4, INTENDED = 5, WRITTEN = 6, ENDED = 7,
            ANSWERED = 8, CLOSED = 9, GAP = 10;
    private static final Api.Outcome[] OUTCOMES = Api.Outcome.values();
    private static final RequestLog.Answer[] ANSWERS = RequestLog.Answer.values();

    private EntryCodec() { }

    static void encode(Entry entry, CodedOutputStream out) throws IOException {
        if (entry instanceof Entry.Accepted e) {
            head(out, TAKEN, e.atUs(), e.order());
            facts(out, e.facts());
        } else if (entry instanceof Entry.Intended e) {
            head(out, INTENDED, e.atUs(), e.order());
            facts(out, e.facts());
            out.writeUInt32(10, e.attempt());
            out.writeUInt64(11, e.region());
            out.writeUInt64(22, e.atUs() - e.acceptedUs());
        } else if (entry instanceof Entry.Written e) {
            head(out, WRITTEN, e.atUs(), e.order());
            out.writeUInt32(10, e.attempt());
        } else if (entry instanceof Entry.Ended e) {
            head(out, ENDED, e.atUs(), e.order());
            out.writeUInt32(10, e.attempt());
            out.writeUInt32(12, 1 + e.outcome().ordinal());
            out.writeBool(13, e.mayHaveBeenSent());
        } else if (entry instanceof Entry.Answered e) {
            head(out, ANSWERED, e.atUs(), e.order());
            out.writeUInt32(14, 1 + e.answer().ordinal());
        } else if (entry instanceof Entry.Closed e) {
            head(out, CLOSED, e.atUs(), e.order());
            out.writeFixed64(15, e.life());
        } else if (entry instanceof Entry.Gap e) {
            head(out, GAP, e.atUs(), 0);
            out.writeUInt64(19, e.orders());
            out.writeUInt64(20, e.lost());
        } else if (entry instanceof Entry.SnapshotEnd e) {
            head(out, SNAPSHOT_END, e.atUs(), 0);
            out.writeUInt64(19, e.count());
        } else if (entry instanceof Entry.Opened e) {
            head(out, OPENED, e.atUs(), 0);
            out.writeFixed64(15, e.life());
            out.writeString(16, e.name());
            for (String name : e.classes()) { out.writeString(17, name); }
            for (String name : e.plans()) { out.writeString(18, name); }
        } else {
            carried((Entry.Carried) entry, out);
        }
    }

    private static void head(CodedOutputStream out, int kind, long atUs, long order) throws IOException {
        out.writeUInt32(1, kind);
        out.writeUInt64(2, atUs);
        if (order != 0) { out.writeUInt64(3, order); }
    }

    private static void facts(CodedOutputStream out, Entry.RequestFacts facts) throws IOException {
        out.writeFixed64(4, facts.id());
        if (facts.keyed()) { out.writeFixed64(5, facts.key()); }
        out.writeUInt64(6, facts.customer());
        if (facts.classIndex() != 0) { out.writeUInt32(7, facts.classIndex()); }
        if (facts.plan() != 0) { out.writeUInt32(8, facts.plan()); }
        out.writeDouble(9, facts.units());
        if (facts.fingerprint() != 0) { out.writeFixed64(23, facts.fingerprint()); }
    }

    private static void carried(Entry.Carried e, CodedOutputStream out) throws IOException {
        head(out, CARRIED, e.atUs(), e.order());
        out.writeFixed64(15, e.life());
        if (e.facts() != null) { facts(out, e.facts()); }
        if (e.answer() != null) { out.writeUInt32(14, 1 + e.answer().ordinal()); }
        for (JournaledRequest.JournaledAttempt one : e.attempts()) {
            int outcome = one.outcome == null ? 0 : 1 + one.outcome.ordinal();
            out.writeTag(21, WireFormat.WIRETYPE_LENGTH_DELIMITED);
            out.writeUInt32NoTag(CodedOutputStream.computeUInt32Size(1, one.attempt)
                    + CodedOutputStream.computeUInt64Size(2, one.region)
                    + CodedOutputStream.computeUInt64Size(3, one.intendedUs)
                    + CodedOutputStream.computeUInt64Size(4, one.writtenUs)
                    + CodedOutputStream.computeUInt64Size(5, one.endedUs)
                    + CodedOutputStream.computeUInt32Size(6, outcome) + CodedOutputStream.computeBoolSize(7, one.mayHaveBeenSent));
            out.writeUInt32(1, one.attempt);
            out.writeUInt64(2, one.region);
            out.writeUInt64(3, one.intendedUs);
            out.writeUInt64(4, one.writtenUs);
            out.writeUInt64(5, one.endedUs);
            out.writeUInt32(6, outcome);
            out.writeBool(7, one.mayHaveBeenSent);
        }
    }

    /** Reads one message; null for a kind of a later version. An IOException tells of one that cannot be read. */
    static Entry decode(CodedInputStream in) throws IOException {
        int kind = 0;
        long atUs = 0;
        long order = 0;
        long id = 0;
        boolean keyed = false;
        boolean factual = false;
        long key = 0;
        long customer = 0;
        int classIndex = 0;
        int plan = 0;
        double units = 0;
        int attempt = 0;
        long region = 0;
        int outcome = 0;
        boolean mayHaveGone = false;
        int answer = 0;
        long life = 0;
        String name = "";
        List<String> classes = List.of();
        List<String> plans = List.of();
        long count = 0;
        long lost = 0;
        List<JournaledRequest.JournaledAttempt> tries = List.of();
        long parkedUs = 0;
        long print = 0;
        for (int tag; (tag = in.readTag()) != 0;) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> kind = in.readUInt32();
                case 2 -> atUs = in.readUInt64();
                case 3 -> order = in.readUInt64();
                case 4 -> {
                    id = in.readFixed64();
                    factual = true;
                }
                case 5 -> {
                    key = in.readFixed64();
                    keyed = true;
                }
                case 6 -> customer = in.readUInt64();
                case 7 -> classIndex = in.readUInt32();
                case 8 -> plan = in.readUInt32();
                case 9 -> units = in.readDouble();
                case 10 -> attempt = in.readUInt32();
                case 11 -> region = in.readUInt64();
                case 12 -> outcome = in.readUInt32();
                case 13 -> mayHaveGone = in.readBool();
                case 14 -> answer = in.readUInt32();
                case 15 -> life = in.readFixed64();
                case 16 -> name = in.readStringRequireUtf8();
                case 17 -> classes = with(classes, in.readStringRequireUtf8());
                case 18 -> plans = with(plans, in.readStringRequireUtf8());
                case 19 -> count = in.readUInt64();
                case 20 -> lost = in.readUInt64();
                case 21 -> tries = with(tries, tried(in));
                case 22 -> parkedUs = in.readUInt64();
                case 23 -> print = in.readFixed64();
                default -> in.skipField(tag);
            }
        }
        Entry.RequestFacts facts = factual ? new Entry.RequestFacts(id, keyed, key, customer, classIndex, plan, units, print) : null;
        return switch (kind) {
            case OPENED -> new Entry.Opened(atUs, life, name, classes, plans);
            case CARRIED -> new Entry.Carried(atUs, life, order, facts, answer == 0 ? null : answer(answer), tries);
            case SNAPSHOT_END -> new Entry.SnapshotEnd(atUs, count);
            case TAKEN -> new Entry.Accepted(atUs, order, needed(facts));
            case INTENDED -> new Entry.Intended(atUs, order, attempt, region, needed(facts), atUs - parkedUs);
            case WRITTEN -> new Entry.Written(atUs, order, attempt);
            case ENDED -> new Entry.Ended(atUs, order, attempt, outcome(outcome), mayHaveGone);
            case ANSWERED -> new Entry.Answered(atUs, order, answer(answer));
            case CLOSED -> new Entry.Closed(atUs, life, order);
            case GAP -> new Entry.Gap(atUs, count, lost);
            default -> null;
        };
    }

    private static JournaledRequest.JournaledAttempt tried(CodedInputStream in) throws IOException {
        int before = in.pushLimit(in.readRawVarint32());
        JournaledRequest.JournaledAttempt one = new JournaledRequest.JournaledAttempt(0);
        for (int tag; (tag = in.readTag()) != 0;) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> one.attempt = in.readUInt32();
                case 2 -> one.region = in.readUInt64();
                case 3 -> one.intendedUs = in.readUInt64();
                case 4 -> one.writtenUs = in.readUInt64();
                case 5 -> one.endedUs = in.readUInt64();
                case 6 -> {
                    int outcome = in.readUInt32();
                    one.outcome = outcome == 0 ? null : outcome(outcome);
                }
                case 7 -> one.mayHaveBeenSent = in.readBool();
                default -> in.skipField(tag);
            }
        }
        in.popLimit(before);
        return one;
    }

    private static <T> List<T> with(List<T> list, T item) {
        List<T> more = list.isEmpty() ? new ArrayList<>() : list;
        more.add(item);
        return more;
    }

    private static Entry.RequestFacts needed(Entry.RequestFacts facts) throws IOException {
        if (facts == null) { throw new IOException("an entry without the order's facts"); }
        return facts;
    }

    private static Api.Outcome outcome(int number) throws IOException {
        if (number < 1 || number > OUTCOMES.length) { throw new IOException("outcome " + number); }
        return OUTCOMES[number - 1];
    }

    private static RequestLog.Answer answer(int number) throws IOException {
        if (number < 1 || number > ANSWERS.length) { throw new IOException("answer " + number); }
        return ANSWERS[number - 1];
    }
}

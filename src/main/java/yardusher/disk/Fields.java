package yardusher.disk;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A protobuf message as its fields by number, for messages that are few and small: stores and what agents say to one
 * another. A field that is not there reads as 0 or as the empty text; unknown fields are kept out of nobody's way.
 */
public final class Fields {
    private static final byte[] NOTHING = {};
    private final Map<Integer, List<Object>> values = new TreeMap<>();

    private Fields() { }

    /** Reads a whole message; an {@link IOException} for bytes that are none. */
    public static Fields read(byte[] message) throws IOException { return read(CodedInputStream.newInstance(message)); }

    /** Reads to the end of the stream. */
    public static Fields read(CodedInputStream in) throws IOException {
        Fields fields = new Fields();
        for (int tag; (tag = in.readTag()) != 0;) {
            Object value;
            switch (WireFormat.getTagWireType(tag)) {
                case WireFormat.WIRETYPE_VARINT -> value = in.readUInt64();
                case WireFormat.WIRETYPE_LENGTH_DELIMITED -> value = in.readByteArray();
                default -> throw new InvalidProtocolBufferException("a field of a kind that is not written here");
            }
            fields.values.computeIfAbsent(WireFormat.getTagFieldNumber(tag), none -> new ArrayList<>(1)).add(value);
        }
        return fields;
    }

    public boolean has(int field) { return values.containsKey(field); }

    public long number(int field) { return last(field) instanceof Long number ? number : 0; }

    public int intNumber(int field) { return (int) number(field); }

    public boolean flag(int field) { return number(field) != 0; }

    public byte[] bytes(int field) { return last(field) instanceof byte[] bytes ? bytes : NOTHING; }

    public String text(int field) { return new String(bytes(field), StandardCharsets.UTF_8); }

    /** All values of a repeated field of bytes. */
    public List<byte[]> all(int field) {
        return values.getOrDefault(field, List.of()).stream().filter(byte[].class::isInstance).map(byte[].class::cast).toList();
    }

    /** All values of a repeated field of text. */
    public List<String> texts(int field) {
        return all(field).stream().map(bytes -> new String(bytes, StandardCharsets.UTF_8)).toList();
    }

    private Object last(int field) {
        List<Object> all = values.get(field);
        return all == null ? null : all.get(all.size() - 1);
    }

    /** Writes a message, in the order of the calls. Zero, false and empty values are left out. */
    public static final class Writer {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        private final CodedOutputStream out = CodedOutputStream.newInstance(bytes);

        public Writer number(int field, long value) {
            if (value == 0) { return this; }
            return write(() -> out.writeUInt64(field, value));
        }

        public Writer flag(int field, boolean value) { return number(field, value ? 1 : 0); }

        public Writer text(int field, String value) {
            if (value == null || value.isEmpty()) { return this; }
            return write(() -> out.writeString(field, value));
        }

        public Writer texts(int field, Iterable<String> values) {
            for (String value : values) { write(() -> out.writeString(field, value)); }
            return this;
        }

        /** Null is left out; an empty array is written, so that a message without fields stands in a list. */
        public Writer bytes(int field, byte[] value) {
            if (value == null) { return this; }
            return write(() -> out.writeByteArray(field, value));
        }

        public byte[] toBytes() {
            write(out::flush);
            return bytes.toByteArray();
        }

        private Writer write(Writing writing) {
            try {
                writing.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);   // never: it goes to memory
            }
            return this;
        }

        private interface Writing {
            void run() throws IOException;
        }
    }
}

package yardusher.handover;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import yardusher.error.ConfigError;
import yardusher.error.WireError;
import yardusher.net.Sockets;

/**
 * The small file by which a running ingress is found by its next version: where it is asked, and the token that proves
 * that who asks may read its files. Owner-only, and written aside and renamed, so that it is never seen half written.
 */
public record HandoverFile(InetSocketAddress address, String token) {
    /** The version of the note and of what is said on the link. */
    public static final int VERSION = 1;
    private static final int MAX_FILE_BYTES = 512;

    /** A note for this address with a token of its own. */
    public static HandoverFile create(InetSocketAddress address) {
        byte[] random = new byte[16];
        new SecureRandom().nextBytes(random);
        return new HandoverFile(address, HexFormat.of().formatHex(random));
    }

    private static Path file(Path folder, String name) {
        return folder.resolve("yardusher-" + name.replaceAll("[^A-Za-z0-9._-]", "_") + ".handover");
    }

    /** Writes it for the instance of this name; an {@link IOException} where the folder cannot be written. */
    public void write(Path folder, String name) throws IOException {
        Path file = file(folder, name);
        Path aside = Files.createTempFile(folder, "yardusher", ".new",
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        try {
            Files.writeString(aside, "yardusher " + VERSION + "\n" + address.getAddress().getHostAddress() + ":" + address.getPort()
                    + "\n" + token + "\nend\n");
            Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(aside);
        }
    }

    /** The note of the instance of this name; null where there is none. A {@link WireError} says what is wrong with one. */
    public static HandoverFile read(Path folder, String name) throws IOException {
        Path file = file(folder, name);
        if (!Files.exists(file)) { return null; }
        if (Files.size(file) > MAX_FILE_BYTES) { throw new WireError.Malformed(file, "is no note of an ingress"); }
        List<String> lines = new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1).lines().toList();
        if (lines.isEmpty() || !lines.get(0).startsWith("yardusher ")) { throw new WireError.Malformed(file, "is no note of an ingress"); }
        if (!lines.get(0).equals("yardusher " + VERSION)) { throw new WireError.Version(file, "is of another version"); }
        if (lines.size() != 4 || !lines.get(3).equals("end") || !lines.get(2).matches("[0-9a-f]{32}")) {
            throw new WireError.Malformed(file, "is torn");
        }
        try {
            return new HandoverFile(Sockets.parseAddress(lines.get(1)), lines.get(2));
        } catch (ConfigError e) {
            throw new WireError.Malformed(file, "is torn", e);
        }
    }

    /** Takes it away again, if it is still this one's. */
    public void remove(Path folder, String name) {
        try {
            if (equals(read(folder, name))) { Files.delete(file(folder, name)); }
        } catch (IOException | WireError e) { /* whoever reads it finds nobody there */ }
    }
}

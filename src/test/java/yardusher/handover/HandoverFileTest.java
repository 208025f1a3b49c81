package yardusher.handover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yardusher.error.WireError;

/** The note by which a process is found, and the words that two processes say to each other. */
class HandoverFileTest {
    @TempDir
    Path folder;

    @Test
    void aNoteIsReadAsItWasWrittenByItsOwnerAlone() throws Exception {
        assertThat(HandoverFile.read(folder, "n0")).isNull();
        HandoverFile note = HandoverFile.create(new InetSocketAddress("127.0.0.1", 19000));
        note.write(folder, "n0");
        assertThat(HandoverFile.read(folder, "n0")).isEqualTo(note);
        assertThat(HandoverFile.read(folder, "n1")).isNull();
        List<Path> files;
        try (var all = Files.list(folder)) { files = all.toList(); }
        assertThat(files).hasSize(1);
        assertThat(PosixFilePermissions.toString(Files.getPosixFilePermissions(files.get(0)))).isEqualTo("rw-------");
        HandoverFile.create(note.address()).remove(folder, "n0"); // another's stays
        assertThat(HandoverFile.read(folder, "n0")).isEqualTo(note);
        note.remove(folder, "n0");
        assertThat(HandoverFile.read(folder, "n0")).isNull();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "yardusher 1\n", "yardusher 1\n127.0.0.1:1\n0123456789abcdef0123456789abcdef\n",
        "yardusher 1\n127.0.0.1:1\nshort\nend\n", "yardusher 1\nnowhere\n0123456789abcdef0123456789abcdef\nend\n",
        "yardusher 2\n127.0.0.1:1\n0123456789abcdef0123456789abcdef\nend\n", "something else\n\n\n\n", "\u0000\u0001"})
    void whatIsNoNoteIsToldInOneLine(String text) throws Exception {
        Files.writeString(folder.resolve("yardusher-n0.handover"), text);
        assertThatThrownBy(() -> HandoverFile.read(folder, "n0")).isInstanceOf(WireError.class).hasMessageNotContaining("\n");
    }

    @Test
    void everyWordIsReadAsItWasSaid() {
        for (HandoverMessage word : List.of(new HandoverMessage.Ban("s-5be2a07c", true), new HandoverMessage.Ban("s-1", false), new HandoverMessage.BanConfirmed(), new HandoverMessage.Drain(true),
                new HandoverMessage.Drain(false), new HandoverMessage.PeerDatagram(3, "m\u0007\n\r\u007e"), new HandoverMessage.SendDatagram(2, "x".repeat(256)), new HandoverMessage.StateComplete(),
                new HandoverMessage.Serving())) {
            assertThat(HandoverMessage.parse(word.encode())).isEqualTo(word);
            assertThat(word.encode().length()).isLessThanOrEqualTo(HandoverMessage.MAX_LINE_BYTES);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "ban", "ban a b", "heard x eA==", "heard 1 ***", "send 1", "400 no such call", "whole 1"})
    void whatIsNoWordIsNotGuessed(String line) { assertThatThrownBy(() -> HandoverMessage.parse(line)).isInstanceOf(WireError.class); }
}

package yardusher.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class HangupTest {
    @Test
    void theLowestBitOfTheMaskIsThisSignal() {
        assertThat(Hangup.isIgnored("Name:\tjava\nSigBlk:\t0000000000000001\nSigIgn:\t0000000000000001\nSigCgt:\t2000000181005ccf\n")).isTrue();
        assertThat(Hangup.isIgnored("SigIgn:\t0000000000001003\n")).isTrue();
        assertThat(Hangup.isIgnored("SigBlk:\t0000000000000001\nSigIgn:\t0000000000001002\n")).isFalse();
        assertThat(Hangup.isIgnored("")).as("no such table").isFalse();
        assertThat(Hangup.isIgnored("SigIgn:")).as("cut short").isFalse();
    }

    @Test
    void whoHasTheSignalStartsACommandAsItIs() {
        List<String> command = List.of("java", "-jar", "yardusher.jar");
        assertThat(Hangup.restored(command)).endsWith("java", "-jar", "yardusher.jar").hasSize(Hangup.isIgnored() ? 5 : 3);
    }
}

package yardusher.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class HangupTest {
    @Test
    void theLowestBitOfTheMaskIsThisSignal() {
        assertThat(SighupStatus.isIgnored("Name:\tjava\nSigBlk:\t0000000000000001\nSigIgn:\t0000000000000001\nSigCgt:\t2000000181005ccf\n")).isTrue();
        assertThat(SighupStatus.isIgnored("SigIgn:\t0000000000001003\n")).isTrue();
        assertThat(SighupStatus.isIgnored("SigBlk:\t0000000000000001\nSigIgn:\t0000000000001002\n")).isFalse();
        assertThat(SighupStatus.isIgnored("")).as("no such table").isFalse();
        assertThat(SighupStatus.isIgnored("SigIgn:")).as("cut short").isFalse();
    }

    @Test
    void whoHasTheSignalStartsACommandAsItIs() {
        List<String> command = List.of("java", "-jar", "yardusher.jar");
        assertThat(SighupStatus.withDefaultSighup(command)).endsWith("java", "-jar", "yardusher.jar").hasSize(SighupStatus.isIgnored() ? 5 : 3);
    }
}

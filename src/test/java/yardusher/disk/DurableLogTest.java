package yardusher.disk;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import yardusher.lab.MemoryDisk;

/** A log that forgets nothing it has synced, through deaths at any moment, and starts from nothing never. */
class DurableLogTest {
    private static final class Numbers implements DurableLog.LoggedState {
        final List<Long> held = new ArrayList<>();

        @Override
        public void apply(DurableLog.LogRecord line) throws IOException { held.add(Fields.read(line.body()).number(1)); }

        @Override
        public List<DurableLog.LogRecord> snapshot() { return held.stream().map(Numbers::line).toList(); }

        static DurableLog.LogRecord line(long number) { return new DurableLog.LogRecord(1, new Fields.Writer().number(1, number).toBytes()); }
    }

    private static DurableLog open(MemoryDisk disk, Numbers numbers) throws IOException {
        return DurableLog.exists(disk, "t") ? DurableLog.open(disk, "t", 77, numbers, 300) : DurableLog.create(disk, "t", 77, numbers, 300);
    }

    @Property(tries = 200)
    void whatWasSyncedIsThereAfterEachDeath(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        MemoryDisk disk = new MemoryDisk();
        long next = 1;
        long synced = 0;
        for (int life = 0; life < 6; life++) {
            Numbers numbers = new Numbers();
            DurableLog ledger = open(disk, numbers);
            assertThat(numbers.held.size()).isBetween((int) synced, (int) next - 1);
            for (int i = 0; i < numbers.held.size(); i++) { assertThat(numbers.held.get(i)).isEqualTo(i + 1); }
            next = numbers.held.size() + 1;
            for (int i = random.nextInt(40); i > 0; i--) {
                ledger.append(List.of(Numbers.line(next)));
                numbers.held.add(next++);
                if (random.nextBoolean()) {
                    ledger.force();
                    synced = next - 1;
                }
                if (ledger.isDueToRoll()) {
                    ledger.roll();
                    synced = next - 1;
                }
            }
            disk.die(random);
        }
    }

    @Test
    void aFullDiskLosesNothingAndIsWrittenAgainWhenThereIsRoom() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        Numbers numbers = new Numbers();
        DurableLog ledger = open(disk, numbers);
        disk.full = true;
        assertThatThrownBy(() -> ledger.append(List.of(Numbers.line(1)))).isInstanceOf(IOException.class);
        assertThatThrownBy(ledger::roll).isInstanceOf(IOException.class);
        disk.full = false;
        ledger.append(List.of(Numbers.line(2)));
        ledger.force();
        Numbers again = new Numbers();
        open(disk, again);
        assertThat(again.held).containsExactly(2L);
    }

    @Test
    void damageBeforeAValidRecordIsRefusedAndNamed() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        DurableLog ledger = open(disk, new Numbers());
        ledger.append(List.of(Numbers.line(1), Numbers.line(2), Numbers.line(3)));
        ledger.force();
        byte[] bytes = disk.bytes(disk.list().get(0));
        bytes[bytes.length - 18] ^= 4;               // in the record before the last
        assertThatThrownBy(() -> open(disk, new Numbers())).isInstanceOf(IOException.class).hasMessageContaining("damaged");
    }
}

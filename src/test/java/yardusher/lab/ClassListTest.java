package yardusher.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The list of classes for the archive names what is there. {@code .ci/run} looks whether it names all that a start loads. */
class ClassListTest {
    @Test
    void everyClassOfOursInItIsThere() throws Exception {
        List<String> gone = Files.readAllLines(Path.of("src/main/cds/classes.lst")).stream().filter(line -> line.startsWith("yardusher/"))
                .filter(name -> !Files.exists(Path.of("target/classes", name + ".class"))).toList();
        assertThat(gone).as("run lab.ClassList anew").isEmpty();
    }
}

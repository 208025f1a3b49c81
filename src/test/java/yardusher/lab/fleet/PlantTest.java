package yardusher.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The planted faults still match the sources that they change. */
class PlantTest {
    @TempDir
    Path folder;

    @Test
    void everyPlantCompilesAndTakesPrecedence() throws Exception {
        for (String name : Plant.names()) {
            Plant plant = Plant.of(name, folder.resolve(name));
            assertThat(plant.command(24).get(plant.command(24).indexOf("-cp") + 1)).startsWith(folder.resolve(name).resolve("classes").toString());
            assertThat(Files.exists(folder.resolve(name).resolve("classes/yardusher"))).as(name).isTrue();
        }
    }
}

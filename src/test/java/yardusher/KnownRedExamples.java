package yardusher;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** A test and a property for {@link KnownRedTest} to name. The class name matches no test pattern, so they are not run. */
class KnownRedExamples {
    @Test
    void aTest() { }

    @Property(tries = 1)
    void aProperty(@ForAll int any) { }
}

package yardusher;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What {@link KnownRedTest} names: a test and a property. No name of a test class, so that nothing runs it by itself. */
class KnownRedExamples {
    @Test
    void aTest() { }

    @Property(tries = 1)
    void aProperty(@ForAll int any) { }
}

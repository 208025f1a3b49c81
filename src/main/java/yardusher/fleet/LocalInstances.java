package yardusher.fleet;

import java.util.List;
import java.util.function.Consumer;

/** The instances of one agent, as the step executor uses them. In loop. */
public interface LocalInstances {
    List<WorkProcedure.InstanceStatus> instanceStatuses();

    boolean has(String instance);

    /** Number of starts of an instance, over all lives of the agent. */
    long starts(String instance);

    boolean isReady(String instance);

    /** Restarts an instance; {@code then} gets whether it became ready within the allowed time. */
    void restart(String instance, Consumer<Boolean> then);

    /** Waits until an instance is ready; {@code then} gets whether it was in time. */
    void awaitReady(String instance, Consumer<Boolean> then);

    void reload(String instance);

    /** Sends a line to an instance's admin address; {@code then} gets the first line of the answer, or null for none. */
    void call(String instance, String line, Consumer<String> then);
}

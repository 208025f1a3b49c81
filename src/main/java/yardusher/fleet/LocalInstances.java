package yardusher.fleet;

import java.util.List;
import java.util.function.Consumer;

/** The instances of one agent, as the fleet's work needs them. In loop. */
public interface LocalInstances {
    List<WorkProcedure.InstanceStatus> standings();

    boolean has(String instance);

    /** How often an instance was started so far, over all lives of the agent. */
    long starts(String instance);

    boolean isReady(String instance);

    /** Restarts it; {@code then} hears whether it was ready again within the time that an instance has for that. */
    void restart(String instance, Consumer<Boolean> then);

    /** Waits until it is ready; {@code then} hears whether that came in time. */
    void awaitReady(String instance, Consumer<Boolean> then);

    void reload(String instance);

    /** Calls at its second address; {@code then} hears the answer's first line, or null for none. */
    void call(String instance, String line, Consumer<String> then);
}

package yardusher.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What is thrown in a turn takes nothing else with it. */
class EventLoopTest {
    private final List<Throwable> faults = new ArrayList<>();
    private final EventLoop loop = new EventLoop(() -> System.nanoTime() / 1e6, faults::add);

    @AfterEach
    void stop() { loop.stop(); }

    @Test
    void anErrorInATaskDoesNotStopDeferredTasks() {
        List<String> done = new ArrayList<>();
        loop.execute(() -> {
            loop.defer(() -> { throw new OutOfMemoryError("made up"); });
            loop.defer(() -> done.add("follows"));
            loop.execute(() -> done.add("a completion that came at once"));
            throw new AssertionError("made up");
        });
        assertThat(done).containsExactly("follows", "a completion that came at once");
        assertThat(faults).hasSize(2);
    }

    /** Danger: without the thread that keeps the time, a process stands open and nothing in it ever ends. */
    @Test
    void theTimerThreadSurvivesErrorsInTasks() throws Exception {
        BlockingQueue<String> done = new LinkedBlockingQueue<>();
        Thread timer = loop.startTimer();
        loop.execute(() -> {
            loop.deadlines().schedule(loop.now(), () -> { throw new NoClassDefFoundError("made up"); });
            loop.deadlines().schedule(loop.now() + 5, () -> { throw new StackOverflowError("made up"); });
            loop.deadlines().schedule(loop.now() + 10, () -> done.add("later"));
        });
        assertThat(done.poll(20, TimeUnit.SECONDS)).isEqualTo("later");
        assertThat(timer.isAlive()).isTrue();
    }

    /** As where no memory is left to print with. */
    @Test
    void aFailingFaultHandlerDoesNotStopDeferredTasks() {
        List<String> done = new ArrayList<>();
        EventLoop loopWithFailingHandler = new EventLoop(() -> 0, fault -> { throw new OutOfMemoryError("made up"); });
        loopWithFailingHandler.execute(() -> {
            loopWithFailingHandler.defer(() -> done.add("follows"));
            throw new IllegalStateException("made up");
        });
        assertThat(done).containsExactly("follows");
    }
}

package yardusher.fence;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import yardusher.core.EventLoop;
import yardusher.error.RegisterError;
import yardusher.lab.MemoryDisk;

/** What a target refuses, and that it still does after its death. */
class FenceTest {
    @Test
    void onlyTheSealedTokenIsFollowedAndAStepOnce() {
        Fence fence = new Fence();
        assertThat(fence.check("roll", 5, "s")).isEqualTo(new Fence.Unsealed(0));
        assertThat(fence.seal("roll", 5)).isTrue();
        assertThat(fence.seal("roll", 4)).isFalse();
        assertThat(fence.check("roll", 4, "s")).isEqualTo(new Fence.Refused(5));
        assertThat(fence.check("roll", 5, "s")).isEqualTo(new Fence.Begin());
        fence.begin("roll", 5, "s", "restart n0", "1");
        assertThat(fence.check("roll", 5, "s")).isEqualTo(new Fence.Running());
        fence.seal("roll", 6);
        assertThat(fence.isCurrent("roll", 5)).isFalse();
        fence.end("roll", "s", "done");
        assertThat(fence.check("roll", 6, "s")).isEqualTo(new Fence.Finished("done"));
        assertThat(fence.check("roll", 5, "s")).isEqualTo(new Fence.Refused(6));
        assertThat(fence.check("bans", 1, "s")).isEqualTo(new Fence.Unsealed(0));
    }

    @Test
    void onlyFinishedStepsAreForgotten() {
        Fence fence = new Fence();
        fence.seal("roll", 1);
        fence.begin("roll", 1, "running", "", "");
        for (int i = 0; i < Fence.MAX_STEPS + 50; i++) {
            fence.begin("roll", 1, "s" + i, "", "");
            fence.end("roll", "s" + i, "done");
        }
        assertThat(fence.steps("roll")).hasSize(Fence.MAX_STEPS);
        assertThat(fence.check("roll", 1, "running")).isEqualTo(new Fence.Running());
    }

    @Test
    void whatWasSealedAndBegunOutlivesADeath() throws Exception {
        MemoryDisk disk = new MemoryDisk();
        EventLoop loop = new EventLoop(() -> System.nanoTime() / 1e6, Throwable::printStackTrace);
        FenceStore memory = FenceStore.open(disk, "site", "a1", loop);
        CountDownLatch durable = new CountDownLatch(2);
        AtomicReference<Exception> failed = new AtomicReference<>();
        loop.execute(() -> {
            memory.seal("roll", 7, why -> durable.countDown());
            memory.recordStart("n0", 4711, 99);
            memory.begin("roll", 7, "5/n0", "restart n0", "1", why -> durable.countDown());
        });
        assertThat(durable.await(10, TimeUnit.SECONDS)).isTrue();
        assertThat(failed.get()).isNull();
        disk.die(new java.util.Random(1));
        FenceStore next = FenceStore.open(disk, "site", "a1", loop);
        assertThat(next.fence().check("roll", 6, "5/n0")).isEqualTo(new Fence.Refused(7));
        assertThat(next.fence().check("roll", 7, "5/n0")).isEqualTo(new Fence.Unknown("1"));
        assertThat(next.startedProcess("n0")).isEqualTo(new FenceStore.StartedProcess(1, 4711, 99));
        assertThatThrownBy(() -> FenceStore.open(disk, "site", "a2", loop)).isInstanceOf(RegisterError.class);
    }

    @Test
    void aSealThatFoundNoRoomIsNotCalledSealedUntilItIs() throws Exception {
        MemoryDisk disk = new MemoryDisk();
        EventLoop loop = new EventLoop(() -> System.nanoTime() / 1e6, Throwable::printStackTrace);
        FenceStore memory = FenceStore.open(disk, "site", "a1", loop);
        java.util.concurrent.BlockingQueue<String> told = new java.util.concurrent.LinkedBlockingQueue<>();
        disk.full = true;
        for (int i = 0; i < 2; i++) {
            loop.execute(() -> memory.seal("roll", 7, why -> told.add(String.valueOf(why == null ? "sealed" : why.getMessage()))));
            assertThat(told.poll(10, TimeUnit.SECONDS)).contains("No space");
        }
        disk.full = false;
        loop.execute(() -> memory.seal("roll", 7, why -> told.add(why == null ? "sealed" : why.getMessage())));
        assertThat(told.poll(10, TimeUnit.SECONDS)).isEqualTo("sealed");
        assertThat(FenceStore.open(disk, "site", "a1", loop).fence().sealedToken("roll")).isEqualTo(7);
    }

    @Test
    void anInstanceTakesNothingBeforeItsAgentHasSpokenAndNoOlderOrder() {
        InstanceFence fence = new InstanceFence();
        assertThatThrownBy(() -> fence.isNew("s-1", 5, 1)).hasMessageContaining("no token");
        fence.acceptToken(5);
        assertThat(fence.isNew("s-1", 5, 2)).isTrue();
        fence.recordApplied("s-1", 2);
        assertThat(fence.isNew("s-1", 5, 2)).isFalse();
        assertThat(fence.isNew("s-1", 5, 1)).isFalse();
        assertThatThrownBy(() -> fence.isNew("s-1", 4, 9)).hasMessageContaining("token 5");
        assertThatThrownBy(() -> fence.acceptToken(4)).hasMessageContaining("newer");
    }
}

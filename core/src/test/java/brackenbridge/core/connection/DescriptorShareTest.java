package brackenbridge.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Two processes that share a node's descriptors. */
class DescriptorShareTest {
    private static final int USABLE = 100;

    /** A process with its connections, its share for the other process, and the grants that are on their way to it. */
    private static final class SharingProcess {
        private final DescriptorShare share = new DescriptorShare();
        private final ArrayDeque<Integer> arriving = new ArrayDeque<>();
        private int used;

        void open(int count) {
            used += Math.max(0, Math.min(count, USABLE - share.reserved() - used));
        }

        void close(int count) {
            used -= Math.min(count, used);
        }

        void giveUpTo(SharingProcess other, int count) {
            share.reserve(share.reserved() + Math.min(count, USABLE - share.reserved() - used));
            int grant = share.takeGrant(USABLE - used);
            if (grant > 0) {
                other.arriving.add(grant);
            }
        }

        void receive() {
            if (!arriving.isEmpty()) {
                share.onGrant(arriving.poll());
            }
        }
    }

    private static void step(SharingProcess self, SharingProcess other, int action, int count) {
        switch (action) {
            case 0 -> self.open(count);
            case 1 -> self.close(count);
            case 2 -> self.giveUpTo(other, count);
            default -> self.receive();
        }
    }

    /** Guards the node's limit: a descriptor must never be usable in both processes, however late a grant arrives. */
    @Property(seed = "72", tries = 2000)
    void bothProcessesTogetherStayWithinTheLimit(
            @ForAll @IntRange(max = USABLE) int usedAtFirst,
            @ForAll @Size(max = 60) List<@IntRange(max = 7) Integer> actions,
            @ForAll @IntRange(min = 1, max = 40) int count) {
        SharingProcess old = new SharingProcess();
        SharingProcess young = new SharingProcess();
        old.used = usedAtFirst;
        old.share.reserve(Math.min(USABLE / 2, USABLE - usedAtFirst));
        young.share.begin(USABLE - old.share.takeGrant(USABLE - usedAtFirst));
        for (int action : actions) {
            step(action < 4 ? old : young, action < 4 ? young : old, action % 4, count);
            assertTrue(old.used + young.used <= USABLE, old.used + " and " + young.used);
        }
        while (!old.arriving.isEmpty() || !young.arriving.isEmpty()) {
            old.receive();
            young.receive();
        }
        assertEquals(USABLE, old.share.reserved() + young.share.reserved(), "no descriptor is lost between them");
    }

    @Test
    void descriptorsInUseAreGrantedOnceTheyAreFree() {
        DescriptorShare share = new DescriptorShare();
        share.reserve(50);
        assertEquals(20, share.takeGrant(20));
        assertEquals(0, share.takeGrant(20));
        assertEquals(30, share.takeGrant(70), "no more than is reserved");
    }

    @Test
    void requestIsSentOnceUntilItIsGranted() {
        DescriptorShare share = new DescriptorShare();
        assertFalse(share.startRequest(), "the other process takes no part");
        share.begin(50);
        share.startExchange();
        assertTrue(share.startRequest());
        assertFalse(share.startRequest());
        share.onGrant(10);
        assertEquals(40, share.reserved());
        assertTrue(share.startRequest());
    }

    @Test
    void requestOfTheOtherProcessStandsUntilSomethingIsGranted() {
        DescriptorShare share = new DescriptorShare();
        share.onRequest();
        assertEquals(0, share.takeGrant(10));
        assertTrue(share.isRequested());
        share.reserve(5);
        assertEquals(5, share.takeGrant(10));
        assertFalse(share.isRequested());
    }

    @Test
    void allDescriptorsAreAvailableOnceTheOtherProcessHasEnded() {
        DescriptorShare share = new DescriptorShare();
        share.begin(50);
        share.startExchange();
        share.onRequest();
        share.end();
        assertEquals(0, share.reserved());
        assertFalse(share.isActive() || share.isRequested() || share.isExchanging());
    }
}

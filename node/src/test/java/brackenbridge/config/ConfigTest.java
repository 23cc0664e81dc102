package brackenbridge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import brackenbridge.testing.Bytes;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Parses configurations and rejects invalid ones. */
public class ConfigTest {
    /** A complete configuration, also used by the tests of the node. */
    public static final String TEXT = "{\"name\":\"n3\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
            + "\"seed\":\"fc1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
            + "\"known\":{\"seq\":41,\"whole\":true,\"hosts\":[]},\"settings\":{\"classes\":["
            + "{\"name\":\"view\",\"aim\":4000000,\"giveUp\":8000000,\"effect\":\"safe\",\"worth\":2.0},"
            + "{\"name\":\"file\",\"aim\":3000000,\"giveUp\":6000000,\"effect\":\"unsafe\",\"worth\":10.0}],"
            + "\"me\":0,\"replicasOfMe\":1,\"tier\":1,\"zone\":\"room\",\"discovery\":\"on_request\","
            + "\"policyLimits\":{\"maxAttempts\":5,\"connectTimeout\":120000,\"mayCancel\":true,"
            + "\"retryAfter\":false,\"maxRetryAfter\":3000000,\"idleClose\":30000000},"
            + "\"report\":{\"how\":\"probe\",\"columns\":[\"depth\",\"tps\"]},\"rules\":{\"drainGrace\":500000,"
            + "\"fallMultiple\":2.5,\"fall\":1500000}}}";

    @Test
    void nestedJsonIsParsedToSettings() {
        Config config = Config.parse(TEXT);
        assertEquals("n3", config.name());
        assertEquals(
                List.of("view", "file"),
                config.settings().classes().stream().map(k -> k.name()).toList());
        assertEquals(8_000_000, config.settings().classes().get(0).deadline());
        assertEquals(1, config.settings().tier());
        assertEquals(List.of("depth", "tps"), config.settings().network().reportFields());
        assertEquals(0xfc1f30d27a5be964L, config.settings().seed());
        assertEquals(
                3_000_000, config.settings().maxRetryAfter(), "rejections on sockets may always carry Retry-After");
        assertEquals(41, config.configuredEndpoints().version());
        assertEquals(2.5, config.settings().overloadMultiple());
        assertEquals(1_500_000, config.settings().overloadWindow());
    }

    @Property(seed = "31", tries = 1000)
    void garbageIsParsedOrRejectedInOneLine(@ForAll long seed) {
        try {
            assertFalse(Config.parse(Bytes.mutateRandomly(TEXT, seed))
                    .settings()
                    .classes()
                    .isEmpty());
        } catch (IllegalArgumentException e) {
            assertFalse(e.getMessage().isEmpty() || e.getMessage().contains("\n"));
        }
    }

    private static String rejectionMessage(String text) {
        try {
            Config.parse(TEXT).schema().requireSameKeysIn(Config.parse(text).schema());
            return null;
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
    }

    @Test
    void everyPrefixOfAFileIsRejected() {
        for (int i = 0; i < TEXT.length(); i++) {
            assertNotNull(rejectionMessage(TEXT.substring(0, i)), "the first " + i);
        }
    }

    @Test
    void everyMissingKeyIsDetected() {
        java.util.regex.Matcher key =
                java.util.regex.Pattern.compile("\"([A-Za-z_]+)\":").matcher(TEXT);
        int keys = 0;
        while (key.find()) {
            String without = TEXT.substring(0, key.start(1)) + "x" + TEXT.substring(key.start(1));
            assertNotNull(rejectionMessage(without), key.group(1));
            keys++;
        }
        assertEquals(43, keys);
    }

    @Test
    void invalidValuesAreRejected() {
        for (String[] change : new String[][] {
            {"8000000", "0"},
            {"8000000", "-5"},
            {"8000000", "\"8000000\""},
            {"8000000", "null"},
            {"8000000", "NaN"},
            {"\"maxAttempts\":5", "\"maxAttempts\":0"},
            {"\"maxAttempts\":5", "\"maxAttempts\":-1"},
            {"\"maxAttempts\":5", "\"maxAttempts\":\"5\""},
            {"\"maxAttempts\":5", "\"maxAttempts\":2.5"},
            {"\"name\":\"file\"", "\"name\":\"view\""},
            {"\"unsafe\"", "\"sometimes\""},
            {"\"aim\":4000000", "\"aim\":false"},
            {"2.0", "-2.0"}
        }) {
            String text = TEXT.replace(change[0], change[1]);
            assertNotEquals(TEXT, text);
            assertNotNull(rejectionMessage(text), change[1] + " for " + change[0]);
        }
        assertNull(rejectionMessage(TEXT.replace("\"view\"", "\"seen\"").replace("8000000", "9000000")));
    }

    @Test
    void missingKeyIsNamed() {
        assertEquals(
                "no object known",
                assertThrows(IllegalArgumentException.class, () -> Config.parse(TEXT.replace("\"known\"", "\"old\"")))
                        .getMessage());
        assertEquals(
                "no me",
                assertThrows(IllegalArgumentException.class, () -> Config.parse(TEXT.replace("\"me\"", "\"you\"")))
                        .getMessage());
    }
}

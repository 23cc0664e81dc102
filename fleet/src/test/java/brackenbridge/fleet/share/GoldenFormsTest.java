package brackenbridge.fleet.share;

import brackenbridge.fleet.GoldenFiles;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the encoded lease messages, records and share rules against the golden files. */
class GoldenFormsTest {
    private static Map<String, QuotaLeaseMessage> messages() {
        Map<String, QuotaLeaseMessage> messages = new LinkedHashMap<>();
        // Maps with a single key: the order of several is not defined.
        messages.put(
                "ask",
                new QuotaLeaseMessage.Request(
                        "tier/zone/kind", 7, 8, 6, 77, 78, 12, 900.5, 11, Map.of("t1", new PoolUse(3, 2, 1.5, 20.25))));
        messages.put(
                "grant", new QuotaLeaseMessage.Grant("tier/zone/kind", 7, 8, 77, 1500.5, 40, 5, Map.of("t1", 12.0)));
        messages.put("ack", new QuotaLeaseMessage.Ack("tier/zone/kind", 7, 8, 11));
        messages.put("nudge", new QuotaLeaseMessage.RenewalNotice("tier/zone/kind", 78));
        return messages;
    }

    @Test
    void eachMessage() throws IOException {
        GoldenFiles.assertAllCovered(QuotaLeaseMessage.class, messages().values());
        for (Map.Entry<String, QuotaLeaseMessage> message : messages().entrySet()) {
            GoldenFiles.check(
                    "share/" + message.getKey(),
                    message.getValue(),
                    QuotaLeaseMessage::encode,
                    QuotaLeaseMessage::decode);
        }
    }

    @Test
    void poolUse() throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        GoldenFiles.check(
                "share/pool-use",
                new PoolUse(3, 2, 1.5, 20.25),
                mapper::writeValueAsBytes,
                form -> mapper.readValue(form, PoolUse.class));
    }

    @Test
    void shareRules() throws IOException {
        ShareRules.Rule batch = new ShareRules.Rule("batch", 1, 0, 5, List.of());
        ShareRules.Rule tenant = new ShareRules.Rule("t1", 2, 3, 40, List.of(batch));
        ShareRules.Rule group = new ShareRules.Rule("gold", 4, 5, Double.POSITIVE_INFINITY, List.of(tenant));
        ShareRules.Rule others = new ShareRules.Rule("", 0.5, 1, 20, List.of());
        GoldenFiles.check(
                "share/rules",
                new ShareRules(List.of(group), others, 1500),
                ShareRules::encode,
                GoldenFormsTest::parsed);
        GoldenFiles.check("share/rules-none", ShareRules.NONE, ShareRules::encode, GoldenFormsTest::parsed);
    }

    private static ShareRules parsed(byte[] form) throws IOException {
        try {
            return ShareRules.parse(form);
        } catch (ShareRules.InvalidSharesException e) {
            throw new IOException(e);
        }
    }
}

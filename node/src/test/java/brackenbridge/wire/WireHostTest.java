package brackenbridge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The simulator's protocol in both directions, and the errors of invalid input. */
class WireHostTest {
    private static final String START_INSTANCE = "UP\t42\tclasses.count=2\tclasses.0.name=read\tclasses.0.aim=1000000\t"
            + "classes.0.giveUp=3000000\tclasses.0.effect=safe\tclasses.0.worth=2.0\tclasses.1.name=write\t"
            + "classes.1.aim=2000000\tclasses.1.giveUp=5000000\tclasses.1.effect=unsafe\tclasses.1.worth=8.0\t"
            + "tenants=\tme=0\treplicasOfMe=6\tzone=a\tdiscovery=pushed\tpolicyLimits.retryAfter=true\t"
            + "policyLimits.maxRetryAfter=2000000\tpolicyLimits.maxAttempts=4\trules.coldFrom=0.2\t"
            + "rules.warmAfter=20000000\tnot.known=7\n";
    private static final String FIRST_BATCH = "SYNC\t1000\t1\nCONTEXT\t3\n" + START_INSTANCE
            + "CENSUS\t0\t2\nM\t0\ta\tstd\t1\t-\tup\t101\nM\t0\ta\tstd\t1.5\t900\tup\t102\n"
            + "ENDPOINTS\tSAVED\t0\t41\nEOF_BATCH\n";

    private static String run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String errorOf(String input) {
        return assertThrows(WireException.class, () -> run(input)).getMessage();
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("FINISHED\t1\n", run("SYNC\t8412250\t1\nEOF_BATCH\n"));
        assertEquals("", run(""));
    }

    @Test
    void requestsAreSentAndAnswered() throws IOException {
        String reply = run(FIRST_BATCH + "SYNC\t2000\t2\nCONTEXT\t3\nORDER\t7\tread\t-\t-\t900000\t-\t0\nEOF_BATCH\n"
                + "SYNC\t9000\t3\nCONTEXT\t3\nFINISHED\t7\t1\t0\t7000\t1\t101\tload_share:0.4,unheard_of:3\n"
                + "TIMEOUT_FIRED\tany old\nVANISHED\t7\nEOF_BATCH\n");
        assertTrue(
                reply.matches("(?s)FROM\t3\nSET_ALARM\t\\d+\ttick\nFINISHED\t1\n"
                        + "FROM\t3\nSUBMIT_TO\t7\t900000\t10[12]\nFINISHED\t2\nFINISHED\t3\n"),
                reply);
    }

    @Test
    void rejectionsCarryRetryAfter() throws IOException {
        StringBuilder requests = new StringBuilder(FIRST_BATCH + "SYNC\t2000\t2\nCONTEXT\t3\n");
        for (int i = 0; i < 40; i++) {
            requests.append("ORDER\t").append(i).append("\tread\t-\t-\t900000\t-\t0\n");
        }
        assertTrue(run(requests + "EOF_BATCH\n").contains("REJECT\t39\t"));
    }

    @Test
    void stoppedInstanceIsUnknownUntilItIsStartedAgain() throws IOException {
        String stopped = FIRST_BATCH + "SYNC\t2000\t2\nCONTEXT\t3\nTEARDOWN\nEOF_BATCH\n";
        assertTrue(run(stopped).endsWith("FINISHED\t2\n"));
        assertTrue(errorOf(stopped + "SYNC\t3000\t3\nCONTEXT\t3\nTIMEOUT_FIRED\ttick\nEOF_BATCH\n")
                .contains("instance 3 has not been started"));
        assertTrue(run(stopped + FIRST_BATCH.replace("SYNC\t1000\t1", "SYNC\t3000\t3"))
                .endsWith("FINISHED\t3\n"));
    }

    @Test
    void pollingInstanceOpensAWatchAndRetriesAfterAFailure() throws IOException {
        String polling = FIRST_BATCH.replace("discovery=pushed", "discovery=on_request\trules.mustAskIn=10000000");
        String first = run(polling);
        assertTrue(first.matches("(?s).*SET_ALARM\t\\d+\tdiscovery 1\n.*"), first);
        assertTrue(!run(FIRST_BATCH).contains("discovery"), "pushed lists need no polls");
        String fired = "SYNC\t5000000\t2\nCONTEXT\t3\nTIMEOUT_FIRED\tdiscovery 1\nEOF_BATCH\n";
        assertTrue(run(polling + fired).endsWith("FROM\t3\nOBSERVE\t1\nFINISHED\t2\n"));
        String failed = run(polling + fired + "SYNC\t5100000\t3\nCONTEXT\t3\nENDPOINTS\tFAILED\t-\t-\n"
                + "TIMEOUT_FIRED\tdiscovery 1\nTIMEOUT_FIRED\tdiscovery x\nEOF_BATCH\n"
                + "SYNC\t7000000\t4\nCONTEXT\t3\nTIMEOUT_FIRED\tdiscovery 2\nEOF_BATCH\n");
        assertTrue(
                failed.matches("(?s).*FINISHED\t2\nFROM\t3\nSET_ALARM\t\\d+\tdiscovery 2\nFINISHED\t3\n"
                        + "FROM\t3\nOBSERVE\t1\nFINISHED\t4\n"),
                failed);
    }

    @Test
    void exceptionOfTheBalancerIsReportedWithItsCause() throws IOException {
        String reply = run(FIRST_BATCH + "SYNC\t2000\t2\nCONTEXT\t3\nORDER\t7\tother\t-\t-\t900000\t-\t0\nEOF_BATCH\n");
        assertTrue(reply.contains("BROKEN\tjava.lang.IllegalArgumentException: request of unknown class: other"));
    }

    @Test
    void errorsNameTheLineAndField() {
        assertEquals("line 1, field message: a batch begins with SYNC, not 'HELLO'", errorOf("HELLO\n"));
        assertEquals("line 1, field clock: not a whole number: 'soon'", errorOf("SYNC\tsoon\t1\nEOF_BATCH\n"));
        assertEquals("line 1, field batch: missing", errorOf("SYNC\t5\nEOF_BATCH\n"));
        assertEquals("line 2, field message: unknown: 'WHAT'", errorOf("SYNC\t5\t1\nWHAT\nEOF_BATCH\n"));
        assertEquals("line 1: input ends inside a batch", errorOf("SYNC\t5\t1\n"));
        assertEquals("line 2: input ends inside a line", errorOf("SYNC\t5\t1\nEOF"));
        assertEquals(
                "line 3, field message: list of 2 entries has only 0",
                errorOf("SYNC\t5\t1\nCENSUS\t0\t2\nEOF_BATCH\n"));
        assertEquals(
                "line 10, field setId: list 4 was never given",
                errorOf(FIRST_BATCH + "SYNC\t5\t2\nENDPOINTS\tFULL\t4\t1\nEOF_BATCH\n"));
        assertEquals(
                "line 11, field expiresIn: not a whole number: 'x'",
                errorOf(FIRST_BATCH + "SYNC\t5\t2\nCONTEXT\t3\nORDER\t7\tread\t-\t-\tx\t-\t0\nEOF_BATCH\n"));
        assertEquals(
                "line 3, field setup: no classes.count", errorOf("SYNC\t5\t1\nCONTEXT\t1\nUP\t4\tme=0\nEOF_BATCH\n"));
        assertEquals(
                "line 11, field result: unknown: 9",
                errorOf(FIRST_BATCH + "SYNC\t5\t2\nCONTEXT\t3\nFINISHED\t7\t1\t0\t7000\t9\t101\t-\nEOF_BATCH\n"));
        assertEquals("line 1: longer than 16777216 bytes", errorOf("SYNC\t".repeat(1 << 22)));
        assertEquals("line 2: more fields than the message has: '9'", errorOf("SYNC\t5\t1\nEOF_BATCH\t9\n"));
    }
}

package brackenbridge.lab.soak;

import brackenbridge.http.HttpResponse;
import brackenbridge.lab.rules.RuleChecker.Answer;
import brackenbridge.lab.rules.RuleChecker.Rule;
import brackenbridge.lab.world.World;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A client with one connection at a time, which it uses for as long as it stays open. It judges what it sees: each
 * request that the node can have read gets one answer in time.
 */
final class SoakClient implements SoakConnection.Listener {
    /** An answer may come so long after its deadline. */
    static final double ANSWER_SLACK_MS = 550;

    /**
     * A request that was written so long before its connection ended was there to be read before the node ended it: a
     * node may be held up for 150 ms between its last look and the end.
     */
    private static final double CROSSING_MS = 200;
    /** A client that stops in the middle of a request is answered or cut off within 3 s, and half a second. */
    private static final double STALLED_LIMIT_MS = 3500;

    private static final int MAX_WRITES = 4;
    private static final int MAX_PIPELINED = 4;
    private static final int MAX_BODY_BYTES = 48 * 1024;
    private static final int BODY_PIECES = 3;
    private static final double RETRY_CONNECT_MS = 30;
    /** Clients begin one after the other: a process that has just started is slow. */
    private static final double START_SPREAD_MS = 1000;

    private static final double LEAVES_ONE_IN = 3;

    private final ClientSetting setting;
    private final ClientHabit habit;
    private final UniformRandomProvider random;
    /** Written and not answered, in order. */
    private final Deque<SoakRequest> outstanding = new ArrayDeque<>();
    /** To be written again: their connection had ended before the node read them. */
    private final List<SoakRequest> again = new ArrayList<>();

    private SoakConnection connection;
    private boolean connecting;
    /** The node has said that this connection carries no further answer. */
    private boolean closeAnnounced;

    private boolean busy;
    private boolean resting = true;
    private boolean over;
    /** Counts what was begun, so that a later moment knows whether it still goes on. */
    private long turn;

    SoakClient(ClientSetting setting, ClientHabit habit, UniformRandomProvider random) {
        this.setting = setting;
        this.habit = habit;
        this.random = random;
    }

    /** Begins, or goes on after {@link #rest}. */
    void start() {
        if (resting) {
            resting = false;
            later(random.nextDouble(0, START_SPREAD_MS), this::next);
        }
    }

    /** Begins no request any more; its connection stays. */
    void rest() {
        resting = true;
    }

    /** Whether it waits for nothing. */
    boolean isQuiet() {
        return outstanding.isEmpty() && again.isEmpty() && (!busy || habit == ClientHabit.STALLING);
    }

    /** Ends its connection, at the end of the play. */
    void end() {
        over = true;
        if (connection != null) {
            connection.close();
        }
    }

    private double now() {
        return setting.clock().nowMs();
    }

    private void later(double afterMs, Runnable task) {
        setting.scheduler().at(now() + afterMs, task);
    }

    // Requests.

    private void next() {
        if (over || busy || connecting || !outstanding.isEmpty()) {
            return;
        }
        again.removeIf(this::isTooLate);
        if (again.isEmpty() && resting) {
            return;
        }
        if (connection == null) {
            connect();
            return;
        }
        turn++;
        if (!again.isEmpty()) {
            writeAgain();
            return;
        }
        switch (habit) {
            case STALLING -> stall();
            case IN_PIECES -> writeInPieces(request(0), 2, 600);
            case WITH_BODY -> writeInPieces(request(random.nextInt(MAX_BODY_BYTES)), BODY_PIECES, 40);
            case PIPELINING -> writePipelined();
            case LEAVING -> writeAndLeave();
            default -> writeWhole(request(0));
        }
    }

    private boolean isTooLate(SoakRequest request) {
        boolean late = now() >= request.deadlineMs();
        if (late) {
            request.end();
            setting.tally().notTaken();
        }
        return late;
    }

    private void writeAgain() {
        List<SoakRequest> requests = List.copyOf(again);
        again.clear();
        requests.forEach(this::writeWhole);
    }

    private SoakRequest request(int bodyBytes) {
        List<World.ClassSpec> classes = new ArrayList<>(setting.world().classes());
        World.ClassSpec quick = classes.get(0);
        for (String added : setting.processes().addedClasses()) {
            classes.add(new World.ClassSpec(added, quick.aimMs(), quick.deadlineMs(), quick.unsafe(), 1, 0, 0));
        }
        World.ClassSpec spec = classes.get(random.nextInt(classes.size()));
        if (bodyBytes > 0) {
            spec = classes.stream().filter(World.ClassSpec::unsafe).findFirst().orElseThrow();
        }
        byte[] body = new byte[bodyBytes];
        Arrays.fill(body, (byte) 'b');
        return new SoakRequest(HexFormat.of().toHexDigits(random.nextLong()), spec, body, random.nextBoolean());
    }

    private void writeWhole(SoakRequest request) {
        byte[] bytes = request.bytes(now());
        lastByteWritten(request);
        connection.write(bytes);
    }

    private void writePipelined() {
        int count = 2 + random.nextInt(MAX_PIPELINED - 1);
        List<byte[]> texts = new ArrayList<>();
        int length = 0;
        for (int i = 0; i < count; i++) {
            SoakRequest request = request(0);
            byte[] bytes = request.bytes(now());
            texts.add(bytes);
            length += bytes.length;
            lastByteWritten(request);
        }
        byte[] all = new byte[length];
        int at = 0;
        for (byte[] bytes : texts) {
            System.arraycopy(bytes, 0, all, at, bytes.length);
            at += bytes.length;
        }
        connection.write(all);
    }

    private void writeAndLeave() {
        SoakRequest request = request(0);
        writeWhole(request);
        if (random.nextDouble() * LEAVES_ONE_IN < 1) {
            long mine = turn;
            later(random.nextDouble(1, 60), () -> {
                if (turn == mine && connection != null && !outstanding.isEmpty()) {
                    leave();
                }
            });
        }
    }

    private void leave() {
        double nowMs = now();
        setting.tally().left();
        outstanding.forEach(request -> {
            request.end();
            request.entry().gone(nowMs);
        });
        outstanding.clear();
        connection.close();
    }

    /** Writes a request in so many pieces, each some time after the one before. */
    private void writeInPieces(SoakRequest request, int pieces, double mostPauseMs) {
        busy = true;
        writePiece(request, request.bytes(now()), 0, pieces, mostPauseMs, connection);
    }

    private void writePiece(
            SoakRequest request, byte[] bytes, int from, int pieces, double mostPauseMs, SoakConnection on) {
        if (connection != on) {
            // The connection ended under half a request: nothing is owed for it.
            busy = false;
            next();
            return;
        }
        int to = pieces == 1 ? bytes.length : from + (bytes.length - from) / pieces;
        byte[] piece = Arrays.copyOfRange(bytes, from, to);
        if (to == bytes.length) {
            busy = false;
            lastByteWritten(request);
            on.write(piece);
            return;
        }
        on.write(piece);
        later(random.nextDouble(1, mostPauseMs), () -> writePiece(request, bytes, to, pieces - 1, mostPauseMs, on));
    }

    /** Sends half a request and stays: it has to be answered, or cut off. */
    private void stall() {
        SoakConnection on = connection;
        byte[] bytes = request(0).bytes(now());
        busy = true;
        on.write(Arrays.copyOf(bytes, bytes.length / 2));
        int answersBefore = on.answers();
        later(STALLED_LIMIT_MS, () -> {
            busy = false;
            if (connection == on && on.answers() == answersBefore && !over) {
                setting.rules()
                        .report(
                                Rule.STALLED_CLIENT,
                                now(),
                                String.format(
                                        Locale.ROOT,
                                        "no answer and no end for a client that stopped %.0f ms ago",
                                        STALLED_LIMIT_MS));
            }
            if (connection != null) {
                connection.close();
            }
            next();
        });
    }

    private void lastByteWritten(SoakRequest request) {
        double nowMs = now();
        if (request.writes() == 0) {
            setting.tally().sent();
        }
        boolean behind = !outstanding.isEmpty();
        request.written(nowMs, behind, setting.node(), setting.rules(), setting.registry());
        outstanding.add(request);
        setting.log()
                .add(String.format(
                        Locale.ROOT,
                        "%s %s written by a client that is %s, from port %d after %d answers%s",
                        request.id(),
                        request.className(),
                        habit,
                        connection.port(),
                        connection.answers(),
                        behind ? ", behind another" : ""));
        if (!behind) {
            turnCame(request);
        }
        if (request.writes() == 1 && setting.faults().take(SoakFault.BEGUN_FOR_GONE_CLIENT)) {
            request.entry().gone(nowMs - ANSWER_SLACK_MS);
        }
        closeByFault(request, connection);
    }

    /** A request is the first one on its connection: its time counts from now, unless it has begun before. */
    private void turnCame(SoakRequest request) {
        if (!request.hasDeadline()) {
            request.turnCame(now());
        }
        if (!request.isTimed()) {
            request.timed();
            setting.scheduler()
                    .at(
                            request.deadlineMs() + ANSWER_SLACK_MS,
                            () -> later(setting.rules().machineDelayMs(), () -> timesOut(request)));
        }
    }

    private void closeByFault(SoakRequest request, SoakConnection on) {
        if (!setting.faults().has(SoakFault.CLOSED_UNDER_REQUEST)) {
            return;
        }
        later(2, () -> {
            if (connection == on
                    && outstanding.peek() == request
                    && request.hasReachedServer()
                    && setting.faults().take(SoakFault.CLOSED_UNDER_REQUEST)) {
                on.close();
            }
        });
    }

    private void timesOut(SoakRequest request) {
        if (request.isOver()) {
            return;
        }
        request.end();
        again.remove(request);
        if (!outstanding.remove(request)) {
            setting.tally().notTaken();
            return;
        }
        request.entry().close(now());
        if (connection != null) {
            connection.close();
        }
    }

    // The connection.

    private void connect() {
        if (!setting.processes().takesConnections()) {
            later(RETRY_CONNECT_MS, this::next);
            return;
        }
        connecting = true;
        boolean refused = setting.faults().take(SoakFault.REFUSED_CONNECTION);
        SoakConnection.open(
                setting,
                refused ? new java.net.InetSocketAddress(setting.address().getAddress(), 1) : setting.address(),
                this);
    }

    @Override
    public void connected(SoakConnection made) {
        connecting = false;
        closeAnnounced = false;
        connection = made;
        setting.tally().connected();
        if (over) {
            made.close();
        } else {
            next();
        }
    }

    @Override
    public void notConnected(Throwable cause) {
        connecting = false;
        if (setting.processes().takesConnections()) {
            setting.rules()
                    .report(Rule.CONNECT, now(), "a connection to a serving node was refused: " + cause.getMessage());
        }
        later(RETRY_CONNECT_MS, this::next);
    }

    @Override
    public void answered(SoakConnection on, HttpResponse response) {
        SoakRequest request = outstanding.poll();
        if (request == null) {
            // The answer to half a request: an error, after which the connection is of no use.
            on.close();
            return;
        }
        if (outstanding.isEmpty() && setting.faults().take(SoakFault.DROPPED_ANSWER)) {
            // Stays unanswered until its time is over.
            outstanding.addFirst(request);
            return;
        }
        judge(request, response);
        if (!outstanding.isEmpty() && response.keepAlive()) {
            turnCame(outstanding.peek());
        }
        if (!response.keepAlive()) {
            closeAnnounced = true;
            on.close();
        } else if (habit == ClientHabit.RECONNECTING && outstanding.isEmpty()) {
            on.close();
        } else if (outstanding.isEmpty()) {
            later(pauseMs(), this::next);
        }
    }

    private double pauseMs() {
        return habit == ClientHabit.RESTING ? random.nextDouble(500, 4000) : random.nextDouble(5, 60);
    }

    private void judge(SoakRequest request, HttpResponse response) {
        double nowMs = now();
        Answer how = SoakRequest.meaning(response.status());
        request.end();
        setting.log().add(request.id() + " answered " + response.status());
        String body = new String(response.body(), StandardCharsets.ISO_8859_1);
        if (how == Answer.SERVED && !body.startsWith("served " + request.id() + " by ")) {
            request.entry().forged(nowMs, "answered with a body of its own");
        } else {
            how = setting.faults().answer(how, request.entry().isUnsafe());
        }
        request.entry().answered(nowMs, how);
        if (setting.faults().take(SoakFault.SECOND_ANSWER)) {
            request.entry().answered(nowMs, how);
        }
        setting.tally().answered(request.className(), how);
    }

    @Override
    public void ended(SoakConnection on) {
        if (connection != on) {
            return;
        }
        connection = null;
        boolean first = true;
        List<SoakRequest> cut = List.copyOf(outstanding);
        outstanding.clear();
        for (SoakRequest request : cut) {
            cutOff(request, first && on.isMidAnswer(), on);
            first = false;
        }
        if (!over) {
            later(cut.isEmpty() ? pauseMs() : 1, this::next);
        }
    }

    /** Its connection has ended before its answer was whole. */
    private void cutOff(SoakRequest request, boolean midAnswer, SoakConnection on) {
        double nowMs = now();
        if (midAnswer && request.hasReachedServer()) {
            request.end();
            request.entry().answered(nowMs, Answer.FAILED);
            setting.tally().answered(request.className(), Answer.FAILED);
            return;
        }
        double unansweredMs = nowMs - request.writtenMs();
        setting.log()
                .add(String.format(
                        Locale.ROOT,
                        "%s cut off %.1f ms after it was written, answers on the connection %d",
                        request.id(),
                        unansweredMs,
                        on.answers()));
        if (request.hasReachedServer()) {
            lost(request, "its connection ended after it had gone to a server");
        } else if (unansweredMs >= CROSSING_MS && !closeAnnounced && request.hasDeadline()) {
            lost(
                    request,
                    String.format(Locale.ROOT, "its connection ended, %.0f ms after it was written", unansweredMs));
        } else if (request.writes() < MAX_WRITES) {
            setting.tally().sentAgain();
            again.add(request);
        } else if (setting.crowded()) {
            request.end();
            setting.tally().notTaken();
        } else {
            lost(request, "no connection took it in " + MAX_WRITES + " tries");
        }
    }

    private void lost(SoakRequest request, String why) {
        request.end();
        request.entry().connectionEnded(now(), why);
    }
}

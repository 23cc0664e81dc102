package brackenbridge.lab.live;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpRequest;
import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.policy.Policies;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.stats.Scoreboard.End;
import brackenbridge.lab.world.Experiment;
import brackenbridge.lab.world.ExperimentFile;
import brackenbridge.log.Log;
import brackenbridge.net.Node;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The load tool against servers that do as they are told, and a node among stand-ins. */
class LoadClientTest {
    private static final String WORLD = """
            name = "load"
            length = "2s"
            [[class]]
            name = "call"
            aim = "2s"
            deadline = "3s"
            %s
            [[tier]]
            servers = 3
            cores = 4
            slots = 64
            work_mean = "2ms"
            [load]
            per_second = %d
            [clients]
            retries = 1
            keep_alive = 1.0
            """;
    /** Three zones, and agents that are silent while a server leaves and for half a second after it is gone. */
    private static final String PUSHED = """
            try_least = 0.4
            try_most = 0.8
            [net]
            zones = 3
            cross = "3ms"
            [discovery]
            pushed = true
            notice = "100ms"
            [limits]
            report_fields = []
            drain_grace = "50ms"
            [[trouble]]
            kind = "discovery_silent"
            at = "200ms"
            for = "900ms"
            [[trouble]]
            kind = "leave"
            at = "400ms"
            """;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @TempDir
    private Path folder;

    private interface Answering {
        void answer(StandInHttp.Serving to, HttpRequest r);
    }

    private InetSocketAddress server(Answering answering) {
        Channel listening =
                StandInHttp.listen(loop, new InetSocketAddress("127.0.0.1", 0), () -> new StandInHttp.Serving() {
                    @Override
                    void request(HttpRequest r) {
                        answering.answer(this, r);
                    }

                    @Override
                    void ended() {
                        // Nothing is kept.
                    }
                });
        return (InetSocketAddress) listening.localAddress();
    }

    private static void served(StandInHttp.Serving to, HttpRequest r) {
        to.answer(200, new Headers(), StandInAnswers.body(r.headers().get("X-Correlation-Id"), "here"));
    }

    private LiveRunner.Outcome load(InetSocketAddress at, String classMore, int rate, int connections)
            throws Exception {
        Experiment e =
                ExperimentFile.parse("load.toml", WORLD.formatted(classMore, rate), Path.of("."), Policies.names());
        try (Results results = new Results(folder)) {
            return LoadRunner.play(e, e.runs().get(0), at, connections, true, results);
        }
    }

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void aStallOfTheTargetShowsInAllThatWereDueInIt() throws Exception {
        AtomicInteger seen = new AtomicInteger();
        InetSocketAddress at = server((to, r) -> {
            if (seen.incrementAndGet() == 100) {
                // One second in which this server does nothing at all.
                long until = System.nanoTime() + 1_000_000_000L;
                while (System.nanoTime() < until) {
                    Thread.onSpinWait();
                }
            }
            served(to, r);
        });
        LiveRunner.Outcome r = load(at, "", 300, 500);
        double p999 = r.board().latency().getValueAtPercentile(99.9) / 1000.0;
        assertTrue(p999 >= 900, "p99.9 is " + p999 + " ms");
        // With one closed loop a single request would show it; here a good part of two seconds' requests does.
        double p80 = r.board().latency().getValueAtPercentile(80) / 1000.0;
        assertTrue(p80 >= 100, "p80 is " + p80 + " ms");
        assertEquals(0, r.ledger().broken());
    }

    @Test
    void whatTheToolCouldNotSendMarksTheRun() throws Exception {
        InetSocketAddress at = server((to, r) -> loop.schedule(() -> served(to, r), 20, TimeUnit.MILLISECONDS));
        assertTrue(load(at, "", 200, 1).overrun(), "one connection, 20 ms each: 50 a second at the most");
        assertEquals(1, Results.read(folder).size());
        assertTrue(Results.read(folder).get(0).getBoolean("overrun", false));
    }

    @Test
    void brokenRulesAreSeenAtTheClient() throws Exception {
        InetSocketAddress forger = server((to, r) -> to.answer(200, new Headers(), new byte[] {'x'}));
        LiveRunner.Outcome forged = load(forger, "", 20, 100);
        assertTrue(forged.ledger().broken(RuleChecker.Rule.FORGED) > 10);
        assertTrue(forged.ledger().breaches().get(0).text().contains("taken by"));
        InetSocketAddress mute = server((to, r) -> {});
        LiveRunner.Outcome lost = load(mute, "", 20, 100);
        assertTrue(lost.ledger().broken(RuleChecker.Rule.LOST) > 10);
        assertEquals(0, lost.board().count(End.IN_AIM));
    }

    @Test
    void adviceIsHeededAndUnsafeFailuresAreNotRepeated() throws Exception {
        AtomicInteger seen = new AtomicInteger();
        InetSocketAddress refuser = server((to, r) -> {
            if (r.headers().get("X-Repeat") == null) {
                to.answer(503, new Headers().add("Retry-After", "0.2"), new byte[0]);
            } else {
                served(to, r);
            }
        });
        LiveRunner.Outcome r = load(refuser, "unsafe = true", 40, 100);
        assertTrue(r.board().count(End.IN_AIM) > 40);
        assertTrue(r.board().latency().getMinValue() >= 200_000, "none came back before the advice");
        InetSocketAddress failing = server((to, q) -> {
            seen.incrementAndGet();
            to.answer(500, new Headers(), new byte[0]);
        });
        LiveRunner.Outcome f = load(failing, "unsafe = true", 40, 100);
        assertEquals(f.board().count(End.FAILED), seen.get());
    }

    @ParameterizedTest
    @ValueSource(strings = {"[[trouble]]\nkind = \"crash\"\nat = \"1s\"\nfor = \"500ms\"\n", PUSHED})
    void aNodeAmongStandInsServesAndKeepsTheRules(String more) throws Exception {
        Experiment e =
                ExperimentFile.parse("load.toml", WORLD.formatted("", 100) + more, Path.of("."), Policies.names());
        Clock clock = Clock.system();
        try (Servers servers = new Servers(e.world(), 1, folder.resolve("servers"))) {
            Node node = new Node(
                    Config.read(servers.configs().get(0)),
                    clock,
                    new Log(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)));
            node.start();
            try {
                LiveRunner.Outcome r = load(node.address(), "", 100, 200);
                assertEquals(
                        0,
                        r.ledger().broken(),
                        () -> r.ledger().breaches().get(0).text());
                assertTrue(r.board().servedPart() > 0.9, "served " + r.board().servedPart());
                assertFalse(r.board().first() < 100);
            } finally {
                node.kill();
            }
        }
    }
}

package brackenbridge.lab.fleet.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Each promise on a log that keeps it and on logs that break it. */
class PromisesTest {
    private static final String TWO = """
            -10 m0 ready
            -10 m1 ready
            """;

    /** Lines {@code t who what key=value ...}. */
    private static List<Entry> log(String text) {
        return text.lines()
                .filter(l -> !l.isBlank())
                .map(l -> {
                    String[] w = l.trim().split(" ");
                    StringBuilder json =
                            new StringBuilder("{\"t\":" + w[0] + ",\"who\":\"" + w[1] + "\",\"what\":\"" + w[2] + "\"");
                    for (int i = 3; i < w.length; i++) {
                        String[] kv = w[i].split("=", 2);
                        boolean plain = kv[1].matches("-?[0-9.]+|true|false|[\\[{].*");
                        json.append(",\"").append(kv[0]).append("\":").append(plain ? kv[1] : "\"" + kv[1] + "\"");
                    }
                    return Entry.parse(json.append('}').toString());
                })
                .toList();
    }

    private static Map<String, Double> kept(Promise p, String text) {
        Promise.Finding f = p.check(log(text));
        assertEquals(List.of(), f.breaches());
        return f.figures();
    }

    private static void broken(Promise p, String text, String... says) {
        List<Promise.Breach> breaches = p.check(log(text)).breaches();
        assertEquals(says.length, breaches.size(), breaches.toString());
        for (int i = 0; i < says.length; i++) {
            assertTrue(breaches.get(i).text().contains(says[i]), breaches.get(i).text());
        }
    }

    @Test
    void aWriteIsHeldByAllWithinTheBoundFromTheEndOfTrouble() {
        Converges p = new Converges(1000);
        assertEquals(300, kept(p, TWO + """
                0 m0 wrote key=k n=1
                300 m1 saw owner=m0 key=k n=1
                5000 lab end
                """).get("longest_ms"));
        assertEquals(200, kept(p, TWO + """
                0 lab fault id=1 kind=black_hole from=m0 to=m1
                10 m0 wrote key=k n=1
                3000 lab over id=1
                3200 m1 saw owner=m0 key=k n=1
                5000 lab end
                """).get("longest_ms"));
        kept(p, TWO + """
                10 m0 wrote key=k n=1
                20 lab fault id=1 kind=wipe member=m0
                900 lab over id=1
                5000 lab end
                """);
        kept(p, TWO + """
                5 lab tries member=m0 key=k n=2 gone=true
                10 m0 wrote key=k n=1
                11 m0 wrote key=k n=2 gone=true
                30 m1 saw owner=m0 key=k gone=true
                5000 lab end
                """);
        kept(p, TWO + """
                0 m0 wrote key=k n=1
                3 lab tries member=m0 key=k n=2 gone=true
                4 m0 wrote key=k n=2 gone=true
                5 m1 saw owner=m0 key=k n=1
                9 m1 saw owner=m0 key=k gone=true
                20 m0 wrote key=k n=3 gone=true
                5000 lab end
                """);
        broken(p, TWO + """
                0 m0 wrote key=k n=1
                1 m1 saw owner=m0 key=k n=1
                3 m0 wrote key=k n=2 gone=true
                5000 lab end
                """, "m1 does not hold m0/k number 2");
        broken(p, TWO + """
                0 m0 wrote key=k n=1
                1300 m1 saw owner=m0 key=k n=1
                5000 lab end
                """, "m1 does not hold m0/k number 1");
        assertEquals(1300, p.check(log(TWO + """
                0 m0 wrote key=k n=1
                1300 m1 saw owner=m0 key=k n=1
                5000 lab end
                """)).figures().get("longest_ms"));
        broken(p, TWO + """
                0 m0 wrote key=k n=2
                300 m1 saw owner=m0 key=k n=1
                300 m1 saw owner=m0 key=other n=2
                5000 lab end
                """, "m1 does not hold m0/k number 2");
    }

    @Test
    void whoReturnsIsLevelInTimeAndSaysSoOnlyOnceItIs() {
        LevelAfter p = new LevelAfter(1000, 100);
        String away = TWO + """
                0 m0 wrote key=k n=1
                1000 lab fault id=1 kind=wipe member=m1
                2000 lab over id=1
                """;
        assertEquals(400, kept(p, away + """
                2100 m1 level level=false
                2400 m1 level level=true have={"m0":{"k":1}}
                9000 lab end
                """).get("longest_ms"));
        broken(p, away + "3400 m1 level level=true have={\"m0\":{\"k\":1}}\n9000 lab end", "not level by 3000");
        broken(p, away + "2400 m1 level level=true have={}\n9000 lab end", "says level at 2400 ms and lacks m0/k");
        broken(p, TWO + "0 lab fault id=1 kind=torn member=m1\n9000 lab end", "m1 never came back from torn");
    }

    @Test
    void nothingAcknowledgedIsMissingAtTheEndAndNothingIsThereThatNobodyWrote() {
        NeverLost p = new NeverLost(100);
        String did = """
                0 m0 ready
                5 lab tries member=m0 key=k n=1
                6 m0 wrote key=k n=1
                7 lab tries_add member=m0 key=u by=5
                8 m0 added key=u by=5
                9 lab tries_add member=m0 key=u by=3
                20 m0 proposed name=s content=a verdict=in_force
                30 m0 proposed name=s content=b verdict=unknown
                """;
        String sums = " sums={\"u\":5}";
        String known = " known={\"s\":{\"generation\":4,\"content\":\"a\"}}";
        String have = " have={\"m0\":{\"k\":1}}";
        kept(p, did + "900 m0 final" + have + sums + known);
        kept(p, did + "900 m0 final sums={\"u\":8}" + have + known);
        broken(p, did + "900 m0 final" + sums + known, "number null of m0/k");
        broken(p, did + "900 m0 final have={\"m0\":{\"k\":7}}" + sums + known, "which nobody wrote");
        broken(p, did + "900 m0 final sums={\"u\":4}" + have + known, "sum 4 of u");
        broken(p, did + "900 m0 final sums={\"u\":9}" + have + known, "sum 9 of u");
        broken(p, did + "900 m0 final" + have + sums, "nobody ever held s 'a'");
        broken(
                p,
                did + "40 m0 acts name=s generations=[4] contents=[\"a\"]\n900 m0 final" + have + sums
                        + " known={\"s\":{\"generation\":3,\"content\":\"z\"}}",
                "knows generation 3 of s");
        broken(p, did + "900 lab end", "nobody ever held", "did not say");
        kept(p, did + "90 lab fault id=1 kind=kill member=m0\n95 lab over id=1\n900 m0 final" + known);
        broken(
                p,
                did + "300 lab fault id=1 kind=wipe member=m0\n305 lab over id=1\n900 m0 final" + known,
                "sum 0 of u");
        broken(
                p,
                did + "0 m1 ready\n3 lab tries member=m1 key=k n=2\n900 m0 final" + have + sums + known
                        + "\n901 m1 final have={\"m0\":{\"k\":1},\"m1\":{\"k\":2}}" + sums + known,
                "m0 and m1 differ");
    }

    @Test
    void nobodyActsByAnEarlierGenerationAloneOnceALaterOneIsActedByAlone() {
        NoContradiction p = new NoContradiction();
        kept(p, """
                300 m0 acts name=s generations=[1] contents=["a"] from=0 until=300
                310 m0 acts name=s generations=[1,2] contents=["a","b"] from=305 until=310
                320 m1 acts name=s generations=[1] contents=["a"] from=10 until=320
                350 m1 acts name=s generations=[1,2] contents=["a","b"] from=325 until=350
                400 m0 acts name=s generations=[2] contents=["b"] from=340 until=400
                """);
        broken(p, """
                320 m1 acts name=s generations=[1] contents=["a"] from=10 until=320
                400 m0 acts name=s generations=[2] contents=["b"] from=310 until=400
                """, "m1 acts by generation 1 of s at 320.0 ms, m0 by none before 2 at 310.0 ms");
        broken(p, """
                320 m1 acts name=s generations=[1] contents=["a"] from=10 until=320
                400 m0 acts name=s generations=[1] contents=["b"] from=20 until=400
                """, "as 'b', others as 'a'");
    }

    @Test
    void aRoleHasOneHolder() {
        OneHolder p = new OneHolder();
        kept(p, """
                300 m0 holds role=r token=1 from=0 until=300
                900 m1 holds role=r token=2 from=301 until=900
                """);
        broken(p, """
                300 m0 holds role=r token=1 from=0 until=300
                900 m1 holds role=r token=2 from=299 until=900
                """, "m0 holds r by token 1 at 300.0 ms, m1 by 2 at 299.0 ms");
        broken(p, """
                300 m0 holds role=r token=1 from=0 until=300
                900 m1 holds role=r token=1 from=500 until=900
                """, "by one token");
    }

    @Test
    void allMembersTogetherKeepToAPoolsCapacity() {
        Capacity p = new Capacity(Map.of("p", 10L));
        assertEquals(1.0, kept(p, """
                0 m0 uses pool=p tenant=a n=6
                1 m1 uses pool=p tenant=a n=4
                2 lab ended member=m0
                3 m1 uses pool=p tenant=b n=6
                4 m1 uses pool=other n=60
                """).get("fullest"));
        broken(p, """
                0 m0 uses pool=p tenant=a n=6
                1 m1 uses pool=p tenant=a n=4
                2 m1 uses pool=p tenant=b n=1
                """, "11 connections of p");
    }
}

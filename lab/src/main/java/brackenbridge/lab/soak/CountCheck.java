package brackenbridge.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Holds a node's own counts against what its clients and servers saw. */
final class CountCheck {
    private static final Pattern COUNT = Pattern.compile("([a-z_.0-9-]+):([0-9]+)\\|c");
    private static final String SERVED = "proxy.ok.";
    private static final String ATTEMPTS = "proxy.tries";
    private static final double SERVED_PART = 0.01;
    private static final double ATTEMPTS_PART = 0.02;
    private static final long MIN_TOLERANCE = 3;

    private CountCheck() {}

    /**
     * What is untrue; empty if all agrees.
     *
     * @param info the node's answer to {@code INFO}
     * @param servedByClass what its clients were served by this process
     * @param clientsLeft clients that have left: what they abandoned may be counted or not
     * @param attempts attempts that came to servers from this process
     */
    static List<String> check(String info, Map<String, Long> servedByClass, long clientsLeft, long attempts) {
        List<String> untrue = new ArrayList<>();
        servedByClass.forEach((className, served) -> {
            long counted = count(info, SERVED + className);
            long tolerance = clientsLeft + Math.max(MIN_TOLERANCE, Math.round(SERVED_PART * served));
            if (Math.abs(counted - served) > tolerance) {
                untrue.add(String.format(
                        Locale.ROOT, "%s%s says %d, clients were served %d", SERVED, className, counted, served));
            }
        });
        long written = count(info, ATTEMPTS);
        long tolerance = Math.max(MIN_TOLERANCE, Math.round(ATTEMPTS_PART * attempts));
        // More than came: an attempt may be written to a server that dies before it reads.
        if (written < attempts - tolerance) {
            untrue.add(String.format(Locale.ROOT, "%s says %d, %d came to servers", ATTEMPTS, written, attempts));
        }
        return untrue;
    }

    /** A count by its name; 0 if it is not there. */
    private static long count(String info, String name) {
        Matcher matcher = COUNT.matcher(info);
        while (matcher.find()) {
            if (matcher.group(1).equals(name)) {
                return Long.parseLong(matcher.group(2));
            }
        }
        return 0;
    }

    /** The same counts with those of requests served a tenth higher, and ten more. */
    static String inflated(String info) {
        return COUNT.matcher(info).replaceAll(found -> {
            long count = Long.parseLong(found.group(2));
            long told = found.group(1).startsWith(SERVED) ? count + count / 10 + 10 : count;
            return found.group(1) + ":" + told + "|c";
        });
    }
}

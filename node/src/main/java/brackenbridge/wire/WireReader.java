package brackenbridge.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads tab-separated lines and their fields, straight from the bytes. */
final class WireReader {
    /** No message is longer: guards memory against input without line ends. */
    private static final int LONGEST = 1 << 24;

    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int start;
    private int limit;
    private int lineEnd;
    private int at;
    private long line;

    WireReader(InputStream in) {
        this.in = in;
    }

    /** Steps to the next line; false at the end of input. */
    boolean nextLine() throws IOException {
        int from = start;
        while (true) {
            for (int i = from; i < limit; i++) {
                if (buffer[i] == '\n') {
                    at = start;
                    lineEnd = i;
                    start = i + 1;
                    line++;
                    return true;
                }
            }
            from = limit;
            if (start > 0) {
                System.arraycopy(buffer, start, buffer, 0, limit - start);
                limit -= start;
                from -= start;
                start = 0;
            }
            if (limit >= LONGEST) {
                line++;
                throw error(null, "longer than " + LONGEST + " bytes");
            }
            if (limit == buffer.length) {
                buffer = java.util.Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int got = in.read(buffer, limit, buffer.length - limit);
            if (got < 0) {
                if (limit > start) {
                    line++;
                    throw error(null, "input ends inside a line");
                }
                return false;
            }
            limit += got;
        }
    }

    boolean more() {
        return at <= lineEnd;
    }

    private int fieldEnd(String field) {
        if (!more()) {
            throw error(field, "missing");
        }
        int end = at;
        while (end < lineEnd && buffer[end] != '\t') {
            end++;
        }
        return end;
    }

    String text(String field) {
        int end = fieldEnd(field);
        String s = new String(buffer, at, end - at, StandardCharsets.UTF_8);
        at = end + 1;
        return s;
    }

    /** The rest of the line, tabs included. */
    String rest(String field) {
        if (!more()) {
            throw error(field, "missing");
        }
        String s = new String(buffer, at, lineEnd - at, StandardCharsets.UTF_8);
        at = lineEnd + 1;
        return s;
    }

    /** A field that may be absent, written as a dash or left out at the end of the line. */
    String optionalText(String field) {
        if (!more()) {
            return null;
        }
        String s = text(field);
        return s.equals("-") || s.isEmpty() ? null : s;
    }

    long number(String field) {
        int end = fieldEnd(field);
        long value = parse(field, end);
        at = end + 1;
        return value;
    }

    long optionalNumber(String field, long absent) {
        if (!more()) {
            return absent;
        }
        int end = fieldEnd(field);
        if (end == at + 1 && buffer[at] == '-') {
            at = end + 1;
            return absent;
        }
        return number(field);
    }

    private long parse(String field, int end) {
        int i = at;
        boolean negative = i < end && buffer[i] == '-';
        if (negative) {
            i++;
        }
        if (i == end || end - i > 18) {
            throw unparsable(field, end);
        }
        long value = 0;
        for (; i < end; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9) {
                throw unparsable(field, end);
            }
            value = value * 10 + digit;
        }
        return negative ? -value : value;
    }

    private WireException unparsable(String field, int end) {
        String found = new String(buffer, at, end - at, StandardCharsets.UTF_8);
        return error(field, "not a whole number: '" + found + "'");
    }

    double decimal(String field) {
        String s = text(field);
        try {
            return Double.parseDouble(s);
        } catch (NumberFormatException e) {
            throw error(field, "not a number: '" + s + "'");
        }
    }

    boolean flag(String field) {
        long value = number(field);
        if (value != 0 && value != 1) {
            throw error(field, "neither 0 nor 1: " + value);
        }
        return value == 1;
    }

    /** The message must end here. */
    void endOfMessage() {
        if (more()) {
            throw error(null, "more fields than the message has: '" + rest("") + "'");
        }
    }

    WireException error(String field, String what) {
        return new WireException("line " + line + (field == null ? "" : ", field " + field) + ": " + what);
    }
}

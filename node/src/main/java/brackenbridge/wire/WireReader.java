package brackenbridge.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads tab-separated lines and their fields directly from the bytes of a stream. */
final class WireReader {
    /** Guards memory against input without line ends. */
    private static final int MAX_LINE_BYTES = 1 << 24;

    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    /** No number with this many digits overflows a {@code long}. */
    private static final int MAX_DIGITS = 18;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int start;
    private int limit;
    private int lineEnd;
    private int position;
    private long line;

    WireReader(InputStream in) {
        this.in = in;
    }

    /** Advances to the next line; returns false at the end of input. */
    boolean nextLine() throws IOException {
        int from = start;
        while (true) {
            for (int i = from; i < limit; i++) {
                if (buffer[i] == '\n') {
                    position = start;
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
            if (limit >= MAX_LINE_BYTES) {
                line++;
                throw error(null, "longer than " + MAX_LINE_BYTES + " bytes");
            }
            if (limit == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int readBytes = in.read(buffer, limit, buffer.length - limit);
            if (readBytes < 0) {
                if (limit > start) {
                    line++;
                    throw error(null, "input ends inside a line");
                }
                return false;
            }
            limit += readBytes;
        }
    }

    /** Whether the line has another field. */
    boolean hasMoreFields() {
        return position <= lineEnd;
    }

    private int fieldEnd(String field) {
        if (!hasMoreFields()) {
            throw error(field, "missing");
        }
        int end = position;
        while (end < lineEnd && buffer[end] != '\t') {
            end++;
        }
        return end;
    }

    /** Reads the next field as text. */
    String readText(String field) {
        int end = fieldEnd(field);
        String value = new String(buffer, position, end - position, StandardCharsets.UTF_8);
        position = end + 1;
        return value;
    }

    /** Reads the rest of the line, including tabs. */
    String readRest(String field) {
        if (!hasMoreFields()) {
            throw error(field, "missing");
        }
        String value = new String(buffer, position, lineEnd - position, StandardCharsets.UTF_8);
        position = lineEnd + 1;
        return value;
    }

    /** Reads a field that may be absent: a dash, or left out at the end of the line. */
    String readOptionalText(String field) {
        if (!hasMoreFields()) {
            return null;
        }
        String value = readText(field);
        return value.equals("-") || value.isEmpty() ? null : value;
    }

    /** Reads the next field as an integer. */
    long readNumber(String field) {
        int end = fieldEnd(field);
        long value = parseWholeNumber(field, end);
        position = end + 1;
        return value;
    }

    /** Reads an integer that may be absent: a dash, or left out at the end of the line. */
    long readOptionalNumber(String field, long defaultValue) {
        if (!hasMoreFields()) {
            return defaultValue;
        }
        int end = fieldEnd(field);
        if (end == position + 1 && buffer[position] == '-') {
            position = end + 1;
            return defaultValue;
        }
        return readNumber(field);
    }

    private long parseWholeNumber(String field, int end) {
        int i = position;
        boolean negative = i < end && buffer[i] == '-';
        if (negative) {
            i++;
        }
        if (i == end || end - i > MAX_DIGITS) {
            throw notAWholeNumber(field, end);
        }
        long value = 0;
        for (; i < end; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9) {
                throw notAWholeNumber(field, end);
            }
            value = value * 10 + digit;
        }
        return negative ? -value : value;
    }

    private WireException notAWholeNumber(String field, int end) {
        String found = new String(buffer, position, end - position, StandardCharsets.UTF_8);
        return error(field, "not a whole number: '" + found + "'");
    }

    /** Reads the next field as a decimal number. */
    double readDecimal(String field) {
        String value = readText(field);
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw error(field, "not a number: '" + value + "'");
        }
    }

    /** Reads the next field as a flag, 0 or 1. */
    boolean readFlag(String field) {
        long value = readNumber(field);
        if (value != 0 && value != 1) {
            throw error(field, "neither 0 nor 1: " + value);
        }
        return value == 1;
    }

    /** Fails if the message has another field. */
    void requireEndOfMessage() {
        if (hasMoreFields()) {
            throw error(null, "more fields than the message has: '" + readRest("") + "'");
        }
    }

    /** Creates the error for the current line, and for this field unless it is null; the caller throws it. */
    WireException error(String field, String reason) {
        return new WireException("line " + line + (field == null ? "" : ", field " + field) + ": " + reason);
    }
}

package brackenbridge.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts what comes on a watch into the objects it is made of, however their lines are broken and in whatever pieces
 * they arrive. An object ends with its last brace: nothing waits for the line behind it.
 */
public final class JsonObjectSplitter {
    /** What one byte has completed. */
    public enum Progress {
        /** Nothing yet. */
        INCOMPLETE,
        /** The first byte of a text that is not whole yet. */
        TEXT_STARTED,
        /** An empty line: discovery says that nothing has changed. */
        EMPTY_LINE,
        /** A text to be parsed, see {@link #take}: an object, or a line that is none. */
        TEXT_COMPLETE,
        /** More than is believed of one object; nothing of it is kept. */
        TOO_LONG
    }

    private final int maxTextBytes;
    private ByteArrayOutputStream text = new ByteArrayOutputStream();
    private boolean inObject;
    private int depth;
    private boolean inString;
    private boolean escaped;
    /** Whether this line has held the end of an object: its own end is no empty line then. */
    private boolean objectEndedOnLine;

    /** Cuts objects of at most so many bytes. */
    public JsonObjectSplitter(int limit) {
        this.maxTextBytes = limit;
    }

    /** Takes the next byte. */
    public Progress add(byte b) {
        boolean blank = b == ' ' || b == '\t' || b == '\r' || b == '\n';
        if (text.size() == 0 && blank) {
            boolean empty = b == '\n' && !objectEndedOnLine;
            objectEndedOnLine &= b != '\n';
            return empty ? Progress.EMPTY_LINE : Progress.INCOMPLETE;
        }
        if (text.size() >= maxTextBytes) {
            text.reset();
            return Progress.TOO_LONG;
        }
        inObject = text.size() > 0 ? inObject : b == '{';
        text.write(b);
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inString = inObject;
        } else if (b == '{') {
            depth++;
        } else if (b == '}') {
            depth--;
        }
        // Of what is no object a line is all there is: guards the watch against waiting for the end of nonsense.
        boolean whole = inObject ? depth == 0 : b == '\n';
        objectEndedOnLine = whole ? inObject : objectEndedOnLine;
        return whole ? Progress.TEXT_COMPLETE : text.size() == 1 ? Progress.TEXT_STARTED : Progress.INCOMPLETE;
    }

    /** The text that is whole; the next one begins behind it. */
    public String takeText() {
        String whole = text.toString(StandardCharsets.UTF_8);
        // Not reset: a watch lasts, and would keep the room of its longest list.
        text = new ByteArrayOutputStream();
        depth = 0;
        return whole;
    }
}

package brackenbridge.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits the byte stream of a watch into JSON objects, independent of line breaks and of how the bytes are split into
 * reads. An object is complete at its closing brace, so that it is handled without waiting for a line end.
 */
public final class JsonObjectSplitter {
    /** The state of the stream after a byte. */
    public enum Progress {
        /** The byte completes nothing. */
        INCOMPLETE,
        /** The byte is the first of a text. */
        TEXT_STARTED,
        /** The byte ends an empty line, by which discovery reports that nothing has changed. */
        EMPTY_LINE,
        /** A text is complete, see {@link #takeText}: an object, or a line that is not one. */
        TEXT_COMPLETE,
        /** The text exceeds the size limit and has been discarded. */
        TOO_LONG
    }

    private final int maxTextBytes;
    private ByteArrayOutputStream text = new ByteArrayOutputStream();
    private boolean inObject;
    private int depth;
    private boolean inString;
    private boolean escaped;
    /** Whether an object has ended on this line, whose own end is then not an empty line. */
    private boolean objectEndedOnLine;

    /** Creates a splitter for objects of at most this many bytes. */
    public JsonObjectSplitter(int maxTextBytes) {
        this.maxTextBytes = maxTextBytes;
    }

    /** Processes the next byte. */
    public Progress add(byte next) {
        boolean blank = next == ' ' || next == '\t' || next == '\r' || next == '\n';
        if (text.size() == 0 && blank) {
            boolean empty = next == '\n' && !objectEndedOnLine;
            objectEndedOnLine &= next != '\n';
            return empty ? Progress.EMPTY_LINE : Progress.INCOMPLETE;
        }
        if (text.size() >= maxTextBytes) {
            text.reset();
            return Progress.TOO_LONG;
        }
        inObject = text.size() > 0 ? inObject : next == '{';
        text.write(next);
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            inString = inObject;
        } else if (next == '{') {
            depth++;
        } else if (next == '}') {
            depth--;
        }
        // Guards the watch against malformed input: a text that is not an object ends with its line.
        boolean complete = inObject ? depth == 0 : next == '\n';
        objectEndedOnLine = complete ? inObject : objectEndedOnLine;
        return complete ? Progress.TEXT_COMPLETE : text.size() == 1 ? Progress.TEXT_STARTED : Progress.INCOMPLETE;
    }

    /** Returns the complete text and resets the splitter for the next one. */
    public String takeText() {
        String completeText = text.toString(StandardCharsets.UTF_8);
        // Not reset: a buffer keeps its capacity, and a watch lives long after its largest list.
        text = new ByteArrayOutputStream();
        depth = 0;
        return completeText;
    }
}

package brackenbridge.discovery;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonHandler;
import com.eclipsesource.json.JsonParser;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.util.HashSet;
import java.util.Set;

/**
 * Reads JSON that comes from outside. Guards the heap, which small texts of very many values could fill many times
 * over, and guards against a key that stands twice in one object, which two readers would read in two ways.
 */
public final class StrictJson {
    /** A list of 15,000 servers has fewer. */
    private static final int MOST_VALUES = 150_000;

    private StrictJson() {}

    /** Reads the text; what can't be used is an IllegalArgumentException. */
    public static JsonValue parse(String text) {
        try {
            // Counts first and keeps nothing: by the time the values are there it would be too late.
            new JsonParser(new Counter()).parse(text);
            return Json.parse(text);
        } catch (ParseException e) {
            throw new IllegalArgumentException("not JSON: " + e.getMessage(), e);
        } catch (StackOverflowError e) {
            throw new IllegalArgumentException("not JSON: nested too deep", e);
        }
    }

    private static final class Counter extends JsonHandler<Object, Set<String>> {
        private int values;

        private void value() {
            if (++values > MOST_VALUES) {
                throw new IllegalArgumentException("more than " + MOST_VALUES + " values");
            }
        }

        @Override
        public void startNull() {
            value();
        }

        @Override
        public void startBoolean() {
            value();
        }

        @Override
        public void startString() {
            value();
        }

        @Override
        public void startNumber() {
            value();
        }

        @Override
        public Object startArray() {
            value();
            return null;
        }

        @Override
        public Set<String> startObject() {
            value();
            return new HashSet<>();
        }

        @Override
        public void endObjectName(Set<String> names, String name) {
            if (!names.add(name)) {
                throw new IllegalArgumentException("key given twice: " + name);
            }
        }
    }
}

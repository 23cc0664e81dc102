package brackenbridge.discovery;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonHandler;
import com.eclipsesource.json.JsonParser;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.util.HashSet;
import java.util.Set;

/**
 * Parses JSON from untrusted sources. Guards the heap against short texts with very many values, which take many times
 * their size in memory, and guards against duplicate keys, which parsers interpret differently.
 */
public final class StrictJson {
    /** Enough for a list of 15,000 servers. */
    private static final int MAX_VALUES = 150_000;

    private StrictJson() {}

    /** Parses the text; invalid text is an IllegalArgumentException. */
    public static JsonValue parse(String text) {
        try {
            // The first pass only counts values: a limit checked after parsing would not protect the heap.
            new JsonParser(new Validator()).parse(text);
            return Json.parse(text);
        } catch (ParseException e) {
            throw new IllegalArgumentException("not JSON: " + e.getMessage(), e);
        } catch (StackOverflowError e) {
            throw new IllegalArgumentException("not JSON: nested too deeply", e);
        }
    }

    private static final class Validator extends JsonHandler<Object, Set<String>> {
        private int values;

        private void countValue() {
            if (++values > MAX_VALUES) {
                throw new IllegalArgumentException("more than " + MAX_VALUES + " values");
            }
        }

        @Override
        public void startNull() {
            countValue();
        }

        @Override
        public void startBoolean() {
            countValue();
        }

        @Override
        public void startString() {
            countValue();
        }

        @Override
        public void startNumber() {
            countValue();
        }

        @Override
        public Object startArray() {
            countValue();
            return null;
        }

        @Override
        public Set<String> startObject() {
            countValue();
            return new HashSet<>();
        }

        @Override
        public void endObjectName(Set<String> names, String name) {
            if (!names.add(name)) {
                throw new IllegalArgumentException("duplicate key: " + name);
            }
        }
    }
}

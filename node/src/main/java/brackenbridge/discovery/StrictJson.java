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
    private static final int MAX_VALUES = 150_000;

    private StrictJson() {}

    /** Reads the text; what can't be used is an IllegalArgumentException. */
    public static JsonValue parse(String text) {
        try {
            // Counts first and keeps nothing: by the time the values are there it would be too late.
            new JsonParser(new Validator()).parse(text);
            return Json.parse(text);
        } catch (ParseException e) {
            throw new IllegalArgumentException("not JSON: " + e.getMessage(), e);
        } catch (StackOverflowError e) {
            throw new IllegalArgumentException("not JSON: nested too deep", e);
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
                throw new IllegalArgumentException("key given twice: " + name);
            }
        }
    }
}

package brackenbridge.lab.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The node's configuration file: valid, and broken in several ways. */
final class NodeFiles {
    private static final String ADDED_CLASS = "added-";

    private final Path file;
    private final JsonObject valid;
    private int addedClasses;

    NodeFiles(Path folder, JsonObject valid, int descriptors, int memoryMb) {
        this.file = folder.resolve("config.json");
        this.valid = valid;
        valid.get("limits").asObject().set("sockets", descriptors).set("memory_mb", memoryMb);
    }

    Path file() {
        return file;
    }

    void writeValid() throws IOException {
        Files.writeString(file, valid.toString());
    }

    /** Writes a valid file with one class more, and returns the class's name. */
    String writeWithAddedClass() throws IOException {
        String name = ADDED_CLASS + ++addedClasses;
        JsonArray classes = valid.get("settings").asObject().get("classes").asArray();
        JsonObject added = Json.parse(classes.get(0).toString()).asObject().set("name", name);
        classes.add(added);
        writeValid();
        return name;
    }

    /** Writes a file that has a class without any time. */
    void writeInvalid() throws IOException {
        JsonObject broken = Json.parse(valid.toString()).asObject();
        broken.get("settings")
                .asObject()
                .get("classes")
                .asArray()
                .get(0)
                .asObject()
                .set("giveUp", "soon");
        Files.writeString(file, broken.toString());
    }

    /** Writes the first half of the valid file. */
    void writeTruncated() throws IOException {
        String text = valid.toString();
        Files.writeString(file, text.substring(0, text.length() / 2));
    }

    void writeEmpty() throws IOException {
        Files.writeString(file, "");
    }
}

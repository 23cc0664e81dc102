package brackenbridge.fleet.control;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A named value at one version. The content is complete: a newer version replaces an older one without any history.
 *
 * @param name such as {@code settings/tier-1}
 * @param version the agreed generation; grows with each change of this name and is never used twice
 * @param content the value; not interpreted by the control machines
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Resource(String name, long version, byte[] content) {
    /** Maximum length of a name in characters. */
    public static final int MAX_NAME_LENGTH = 64;
    /** Maximum length of the content in bytes. */
    public static final int MAX_CONTENT_BYTES = 256 * 1024;

    /** Throws an {@link IllegalArgumentException} if a value is out of range. */
    public Resource {
        checkName(name);
        if (version < 1) {
            throw new IllegalArgumentException("version of " + name + " must be at least 1: " + version);
        }
        if (content.length > MAX_CONTENT_BYTES) {
            throw new IllegalArgumentException(
                    name + ": content of " + content.length + " bytes exceeds the limit of " + MAX_CONTENT_BYTES);
        }
    }

    static void checkName(String name) {
        if (name == null || name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException(
                    "name must have 1 to " + MAX_NAME_LENGTH + " characters: '" + name + "'");
        }
    }
}

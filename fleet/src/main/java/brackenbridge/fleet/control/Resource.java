package brackenbridge.fleet.control;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A named value at one version. Its content is whole: a newer version replaces an older one and needs no history.
 *
 * @param name such as {@code settings/tier-1}
 * @param version the agreed generation; grows with each change of this name and is never used twice
 * @param content the value; not interpreted by the control machines
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Resource(String name, long version, byte[] content) {
    /** Longest name, in characters. */
    public static final int MAX_NAME_LENGTH = 64;
    /** Longest content, in bytes. */
    public static final int MAX_CONTENT_BYTES = 256 * 1024;

    /** Rejects what is out of bounds with an {@link IllegalArgumentException}. */
    public Resource {
        checkName(name);
        if (version < 1) {
            throw new IllegalArgumentException("version of " + name + ": " + version);
        }
        if (content.length > MAX_CONTENT_BYTES) {
            throw new IllegalArgumentException(name + ": " + content.length + " bytes of at most " + MAX_CONTENT_BYTES);
        }
    }

    static void checkName(String name) {
        if (name == null || name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException(
                    "resource name of 1 to " + MAX_NAME_LENGTH + " characters: '" + name + "'");
        }
    }
}

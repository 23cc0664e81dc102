package brackenbridge.lab.architecture;

import java.util.Set;

/**
 * A type of the source tree with the names that it declares.
 *
 * @param packageName the package of its file
 * @param outer the simple names of the types round it, with a dot after each; empty for a type of its own
 * @param name its simple name
 * @param members names of its methods, fields, constants, record components and nested types
 * @param supertypes simple names of what it extends and implements
 */
record DeclaredType(String packageName, String outer, String name, Set<String> members, Set<String> supertypes) {
    /** Whether a package as pages write it, without its first segments, is the one of this type. */
    boolean isInPackage(String written) {
        return written.isEmpty() || ("." + packageName).endsWith("." + written);
    }
}

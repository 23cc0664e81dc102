package brackenbridge.lab.architecture;

import static java.util.stream.Collectors.groupingBy;

import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.MethodTree;
import com.sun.source.tree.Tree;
import com.sun.source.tree.VariableTree;
import com.sun.source.util.JavacTask;
import com.sun.source.util.TreeScanner;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/** The types of the source tree by simple name, read from the sources themselves, tests among them. */
final class DeclaredTypes {
    private final Map<String, List<DeclaredType>> bySimpleName;

    private DeclaredTypes(List<DeclaredType> types) {
        bySimpleName = types.stream().collect(groupingBy(DeclaredType::name));
    }

    /** Parses the files. */
    static DeclaredTypes read(List<Path> files) {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        List<DeclaredType> types = new ArrayList<>();
        try (StandardJavaFileManager manager = compiler.getStandardFileManager(null, null, null)) {
            JavacTask task = (JavacTask) compiler.getTask(
                    null, manager, null, List.of("-proc:none"), null, manager.getJavaFileObjectsFromPaths(files));
            for (CompilationUnitTree unit : task.parse()) {
                if (unit.getPackageName() != null) {
                    new TypeCollector(unit.getPackageName().toString(), types).scan(unit, "");
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new DeclaredTypes(types);
    }

    /** The types of this simple name in a package as pages write it. */
    List<DeclaredType> find(String packageName, String simpleName) {
        return bySimpleName.getOrDefault(simpleName, List.of()).stream()
                .filter(type -> type.isInPackage(packageName))
                .toList();
    }

    /** The type that is nested in another under this name, if there is one. */
    List<DeclaredType> findNested(DeclaredType outer, String simpleName) {
        return bySimpleName.getOrDefault(simpleName, List.of()).stream()
                .filter(type -> type.packageName().equals(outer.packageName()))
                .filter(type -> type.outer().equals(outer.outer() + outer.name() + "."))
                .toList();
    }

    /** Whether a type or one of its supertypes in the tree declares a member whose name passes. */
    boolean hasMember(DeclaredType type, Predicate<String> name) {
        return hasMember(type, name, new HashSet<>());
    }

    private boolean hasMember(DeclaredType type, Predicate<String> name, Set<DeclaredType> seen) {
        if (!seen.add(type)) {
            return false;
        }
        return type.members().stream().anyMatch(name)
                || type.supertypes().stream()
                        .flatMap(supertype -> find("", supertype).stream())
                        .anyMatch(supertype -> hasMember(supertype, name, seen));
    }

    /** Collects the types of one file; the argument is the names of the types round the scanned one. */
    private static final class TypeCollector extends TreeScanner<Void, String> {
        private final String packageName;
        private final List<DeclaredType> types;

        private TypeCollector(String packageName, List<DeclaredType> types) {
            this.packageName = packageName;
            this.types = types;
        }

        @Override
        public Void visitClass(ClassTree type, String outer) {
            String name = type.getSimpleName().toString();
            if (name.isEmpty()) {
                return super.visitClass(type, outer);
            }
            Set<String> members = new HashSet<>();
            for (Tree member : type.getMembers()) {
                if (member instanceof MethodTree method) {
                    members.add(method.getName().toString());
                } else if (member instanceof VariableTree field) {
                    members.add(field.getName().toString());
                } else if (member instanceof ClassTree nested) {
                    members.add(nested.getSimpleName().toString());
                }
            }
            Set<String> supertypes = new HashSet<>();
            if (type.getExtendsClause() != null) {
                supertypes.add(simpleName(type.getExtendsClause()));
            }
            type.getImplementsClause().forEach(supertype -> supertypes.add(simpleName(supertype)));
            types.add(new DeclaredType(packageName, outer, name, members, supertypes));
            return super.visitClass(type, outer + name + ".");
        }

        private static String simpleName(Tree type) {
            String withoutArguments = type.toString().replaceAll("<.*", "");
            return withoutArguments.substring(withoutArguments.lastIndexOf('.') + 1);
        }
    }
}

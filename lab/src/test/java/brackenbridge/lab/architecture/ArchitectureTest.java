package brackenbridge.lab.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.assignableTo;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.core.Reducer;
import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaFieldAccess;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules of docs/ARCHITECTURE.md on who may depend on what, checked on the compiled classes of all modules. */
class ArchitectureTest {
    private static final String[] CORE = {
        "brackenbridge", "brackenbridge.core..", "brackenbridge.clock", "brackenbridge.counters"
    };
    private static final String[] NODE = {
        "brackenbridge.cli",
        "brackenbridge.config",
        "brackenbridge.discovery",
        "brackenbridge.handover",
        "brackenbridge.http",
        "brackenbridge.log",
        "brackenbridge.mgmt",
        "brackenbridge.net..",
        "brackenbridge.transport",
        "brackenbridge.wire"
    };

    /** All of the JDK that decisions need; {@code java.nio.charset} does no I/O. */
    private static final String[] JDK_OF_CORE = {
        "java.lang", "java.util", "java.util.function", "java.util.random", "java.util.stream", "java.nio.charset"
    };

    /** Packages that hold decisions alone. */
    private static final String[] DECISION_PACKAGES = {
        "brackenbridge", "brackenbridge.core..", "brackenbridge.fleet.share", "brackenbridge.lab.model"
    };

    /** Decisions that share a package with the I/O round them. */
    private static final List<String> DECISION_CLASSES = List.of(
            "brackenbridge.fleet.agreed.AgreedState",
            "brackenbridge.fleet.agreed.LeaderLeases",
            "brackenbridge.fleet.agreed.LeaseView",
            "brackenbridge.fleet.control.AdmissionLimiter",
            "brackenbridge.fleet.control.FleetStatus",
            "brackenbridge.fleet.control.MachineSelector",
            "brackenbridge.fleet.control.ResourceTable",
            "brackenbridge.fleet.evacuation.Driver",
            "brackenbridge.fleet.evacuation.FluidModel",
            "brackenbridge.fleet.evacuation.Forecast",
            "brackenbridge.fleet.evacuation.Proposer",
            "brackenbridge.fleet.peer.FailureDetector",
            "brackenbridge.fleet.replica.AntiEntropy",
            "brackenbridge.fleet.replica.CatchUp",
            "brackenbridge.fleet.replica.RecordStore",
            "brackenbridge.fleet.replica.ReplicationProtocol");

    private static final DescribedPredicate<JavaClass> INPUT_OR_OUTPUT = resideInAnyPackage(
                    "java.io..", "java.net..", "java.nio..", "java.sql..", "io.netty..", "org.h2..")
            .and(not(resideInAPackage("java.nio.charset")))
            .and(not(assignableTo(IOException.class)))
            .and(not(assignableTo(UncheckedIOException.class)))
            .as("input or output");

    private static final DescribedPredicate<JavaClass> THREADS = resideInAPackage("java.util.concurrent..")
            .and(not(resideInAPackage("java.util.concurrent.atomic")))
            .or(assignableTo(Thread.class))
            .as("threads or locks");

    private static final JavaClasses MAIN_CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("brackenbridge");

    @Test
    void modulesDependInOneDirection() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("core")
                .definedBy(CORE)
                .layer("node")
                .definedBy(NODE)
                .layer("fleet")
                .definedBy("brackenbridge.fleet..")
                .layer("lab")
                .definedBy("brackenbridge.lab..")
                .whereLayer("core")
                .mayNotAccessAnyLayer()
                .whereLayer("node")
                .mayOnlyAccessLayers("core")
                .whereLayer("fleet")
                .mayOnlyAccessLayers("core", "node")
                .whereLayer("lab")
                .mayOnlyAccessLayers("core", "node", "fleet")
                .ensureAllClassesAreContainedInArchitecture()
                .check(MAIN_CLASSES);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("(**)").should().beFreeOfCycles().check(MAIN_CLASSES);
    }

    @Test
    void coreUsesNothingButThePlainJdk() {
        classes()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .onlyDependOnClassesThat(resideInAnyPackage(CORE)
                        .or(resideInAnyPackage(JDK_OF_CORE).and(not(assignableTo(Thread.class)))))
                .check(MAIN_CLASSES);
    }

    @Test
    void onlyTheClockOfCoreReadsTheSystemsTime() {
        noClasses()
                .that(resideInAnyPackage(CORE).and(not(resideInAPackage("brackenbridge.clock"))))
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(MAIN_CLASSES);
    }

    @Test
    void onlyTheReducersPackageWritesItsState() {
        fields().that()
                .areDeclaredIn(Reducer.class)
                .and()
                .doNotHaveModifier(JavaModifier.STATIC)
                .should()
                .bePrivate()
                .check(MAIN_CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackage("brackenbridge.core")
                .should()
                .accessFieldWhere(writesFieldOf("brackenbridge.core"))
                .check(MAIN_CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages("brackenbridge", "brackenbridge.core.balancing..")
                .should()
                .accessFieldWhere(writesFieldOf("brackenbridge", "brackenbridge.core.balancing.."))
                .check(MAIN_CLASSES);
    }

    @Test
    void decisionsDoNoInputOrOutputAndStartNoThreads() {
        noClasses()
                .that(resideInAnyPackage(DECISION_PACKAGES)
                        .or(DescribedPredicate.describe("are named as decisions", ArchitectureTest::isDecision)))
                .should()
                .dependOnClassesThat(INPUT_OR_OUTPUT.or(THREADS))
                .check(MAIN_CLASSES);
    }

    /** A renamed or split decision class must not fall out of the rule above unseen. */
    @Test
    void eachClassThatIsNamedAsADecisionExists() {
        List<String> missing = DECISION_CLASSES.stream()
                .filter(name -> !MAIN_CLASSES.contain(name))
                .toList();
        assertEquals(List.of(), missing);
    }

    private static boolean isDecision(JavaClass type) {
        String name = type.getName();
        return DECISION_CLASSES.stream().anyMatch(d -> name.equals(d) || name.startsWith(d + "$"));
    }

    private static DescribedPredicate<JavaFieldAccess> writesFieldOf(String... packages) {
        DescribedPredicate<JavaClass> owner = resideInAnyPackage(packages);
        return DescribedPredicate.describe(
                "writes a field of " + String.join(", ", packages),
                access -> access.getAccessType() == JavaFieldAccess.AccessType.SET
                        && owner.test(access.getTargetOwner()));
    }
}

package dev.toucanstall.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Checks the dependencies of the core: its decisions need no codec, server, clock, thread or file.
 */
final class LayersTest {

  private static final JavaClasses CORE_CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("dev.toucanstall.core");

  @Test
  void coreDependsOnNoCodecServerThreadOrFile() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "com.fasterxml..",
            "org.msgpack..",
            "org.eclipse.jetty..",
            "java.net..",
            "java.io",
            "java.nio.file..",
            "java.util.concurrent..",
            "org.apache.logging..",
            "io.micrometer..")
        .check(CORE_CLASSES);
  }

  @Test
  void coreReadsNoClockAndStartsNoThread() {
    noClasses()
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(CORE_CLASSES);
  }

  /**
   * Guards against a fold that differs between instances: every instance derives the same state
   * from the log alone.
   */
  @Test
  void foldDependsOnNoInstanceState() {
    noClasses()
        .that()
        .resideInAPackage("..core.fold..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("..core.state..", "..core.reduce..", "..core.event..")
        .check(CORE_CLASSES);
  }
}

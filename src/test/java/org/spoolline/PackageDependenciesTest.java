package org.spoolline;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Dependencies between packages have one direction, so that each package can be understood without those above it. */
class PackageDependenciesTest {
    private static final String ROOT = "org.spoolline";

    /**
     * The layers from bottom to top. A package may depend on packages of lower layers only, not on others of its own
     * layer. The empty name is the root package, which creates and connects the components of the controller.
     */
    private static final List<List<String>> LAYERS = List.of(
            List.of("codec"),
            List.of("config"),
            List.of("net"),
            List.of("pipeline", "kvstore", "metrics"),
            List.of("election", "cluster"),
            List.of("job", "reconcile", "upgrade", "peer"),
            List.of("autoscaler"),
            List.of("worker", "scheduler", "api"),
            List.of(""),
            List.of("cli"));

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages(ROOT);

    @Test
    void packagesDependOnLowerLayersOnly() {
        LayeredArchitecture layers = layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage(ROOT + "..")
                .ensureAllClassesAreContainedInArchitecture();
        List<String> lowerLayers = new ArrayList<>();
        for (List<String> layer : LAYERS) {
            for (String name : layer) {
                String identifier = name.isEmpty() ? ROOT : ROOT + "." + name + "..";
                layers = layers.layer(layerName(name)).definedBy(identifier);
            }
        }
        for (List<String> layer : LAYERS) {
            String[] lowerLayerNames = lowerLayers.toArray(new String[0]);
            for (String name : layer) {
                layers = lowerLayerNames.length == 0
                        ? layers.whereLayer(layerName(name)).mayNotAccessAnyLayer()
                        : layers.whereLayer(layerName(name)).mayOnlyAccessLayers(lowerLayerNames);
            }
            layer.forEach(name -> lowerLayers.add(layerName(name)));
        }
        layers.check(CLASSES);
    }

    /** Reports the classes that form a cycle, which the check of the layers does not. */
    @Test
    void packagesAreFreeOfCycles() {
        slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    private static String layerName(String packageName) {
        return packageName.isEmpty() ? "controller" : packageName;
    }
}

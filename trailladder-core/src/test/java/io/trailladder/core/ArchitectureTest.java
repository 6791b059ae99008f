/*
 * Copyright 2026 The trailladder authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *     http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package io.trailladder.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;

/** Checks that the core performs no input or output and uses no threads or clocks. */
class ArchitectureTest {
    private final JavaClasses core =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("io.trailladder.core");

    @Example
    void coreUsesNoInputOrOutput() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.util.concurrent..",
                        "org.glassfish..",
                        "org.tinylog..")
                .check(core);
    }

    @Example
    void coreReadsNoClock() {
        noClasses().should().callMethod(System.class, "currentTimeMillis").check(core);
        noClasses().should().callMethod(System.class, "nanoTime").check(core);
        noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class).check(core);
    }
}

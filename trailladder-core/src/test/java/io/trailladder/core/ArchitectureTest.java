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

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;

/**
 * Checks that the core performs no input or output, uses no threads or clocks and computes alike on
 * every processor.
 */
class ArchitectureTest {
    /** Methods of {@link Math} whose last bit may differ between processors. */
    private static final String INEXACT_METHODS =
            "a?(sin|cos|tan)h?|atan2|exp|expm1|log|log10|log1p|pow|cbrt|hypot";

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

    @Example
    void coreComputesAlikeOnEveryProcessor() {
        noClasses()
                .should()
                .callMethodWhere(
                        target(owner(type(Math.class))).and(target(nameMatching(INEXACT_METHODS))))
                .because("processes on different processors must decide alike; use StrictMath")
                .check(core);
    }
}

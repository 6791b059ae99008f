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
package io.trailladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;

/** Tests that types, methods and fields use the project's vocabulary in their names. */
class WordsTest {
    private static final String ADAPTER = "io.trailladder.adapter";
    private static final Map<String, String> WORD_TO_USE =
            new TreeMap<>(
                    Map.of(
                            "worker", "upstream",
                            "zone", "data centre",
                            "tenant", "organisation",
                            "backend", "upstream"));

    @Example
    void namesUseTheProjectVocabulary() {
        List<String> faults = new ArrayList<>();
        for (JavaClass type :
                new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("io.trailladder")) {
            if (!type.getPackageName().startsWith(ADAPTER)) {
                check(type.getName(), type.getSimpleName(), faults);
                type.getMethods().stream()
                        .filter(method -> !method.getModifiers().contains(JavaModifier.SYNTHETIC))
                        .filter(method -> !method.getName().startsWith("lambda$"))
                        .filter(method -> !isClockMethod(type, method.getName()))
                        .forEach(method -> check(method.getFullName(), method.getName(), faults));
                type.getFields()
                        .forEach(field -> check(field.getFullName(), field.getName(), faults));
            }
        }
        assertEquals(List.of(), faults);
    }

    @Example
    void otherWordsAreFoundInNames() {
        List<String> faults = new ArrayList<>();
        check("x.WorkerLoads", "WorkerLoads", faults);
        check("x.perZone", "perZone", faults);
        check("x.Upstream", "Upstream", faults);
        assertEquals(
                List.of(
                        "x.WorkerLoads says 'worker', use 'upstream'",
                        "x.perZone says 'zone', use 'data centre'"),
                faults);
    }

    /** Whether the method overrides one of {@link Clock} whose name contains a forbidden word. */
    private static boolean isClockMethod(JavaClass type, String method) {
        return type.isAssignableTo(Clock.class)
                && (method.equals("getZone") || method.equals("withZone"));
    }

    private static void check(String where, String name, List<String> faults) {
        String lower = name.toLowerCase(Locale.ROOT);
        WORD_TO_USE.forEach(
                (word, use) -> {
                    if (lower.contains(word)) {
                        faults.add(where + " says '" + word + "', use '" + use + "'");
                    }
                });
    }
}

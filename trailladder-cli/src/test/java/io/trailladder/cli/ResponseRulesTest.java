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

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;
import org.glassfish.grizzly.http.server.Response;

/** Tests rules for the use of HTTP responses in the main sources. */
class ResponseRulesTest {
    // Guards against requests that are never answered: Grizzly recycles a request if another thread
    // resumes its suspended response before the handler has returned.
    @Example
    void noProductClassSuspendsAResponse() {
        noClasses()
                .should()
                .callMethod(Response.class, "suspend")
                .check(
                        new ClassFileImporter()
                                .withImportOption(new ImportOption.DoNotIncludeTests())
                                .importPackages(
                                        "io.trailladder.entry",
                                        "io.trailladder.platform",
                                        "io.trailladder.adapter",
                                        "io.trailladder.cli"));
    }
}

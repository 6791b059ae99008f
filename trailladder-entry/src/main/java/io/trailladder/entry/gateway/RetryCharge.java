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
package io.trailladder.entry.gateway;

/**
 * The retries of one request as its service's retry budget counts them. The first attempt that is
 * sent is free; each later one is charged, at the time at which it is sent.
 */
final class RetryCharge {
    private final RetryBudgets budgets;
    private final String service;
    private boolean sent;
    private boolean charged;
    private long chargedMillis;

    RetryCharge(RetryBudgets budgets, String service) {
        this.budgets = budgets;
        this.service = service;
    }

    /**
     * Returns whether another attempt may be sent, and charges it if it is a retry. Until that
     * attempt is sent, further calls charge nothing.
     *
     * @param nowMillis the current time, in milliseconds
     * @return false if the budget is used up
     */
    boolean allowsAnother(long nowMillis) {
        if (!sent || charged) {
            return true;
        }
        charged = budgets.tryRetry(service, nowMillis);
        chargedMillis = nowMillis;
        return charged;
    }

    /**
     * Records that an attempt is sent.
     *
     * @param nowMillis the current time, in milliseconds
     */
    void sent(long nowMillis) {
        budgets.sent(service, sent);
        if (charged) {
            budgets.sentLater(service, chargedMillis, nowMillis);
            charged = false;
        }
        sent = true;
    }

    /** Gives back the charge of an attempt that will not be sent. */
    void end() {
        if (charged) {
            budgets.giveBack(service, chargedMillis);
            charged = false;
        }
    }
}

/**
 * Rate limits, their shares, and retry budgets.
 *
 * @since 0.1
 */
package io.trailladder.core.limit;

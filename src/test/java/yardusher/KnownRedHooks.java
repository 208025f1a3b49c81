package yardusher;

import net.jqwik.api.lifecycle.LifecycleContext;
import net.jqwik.api.lifecycle.PropagationMode;
import net.jqwik.api.lifecycle.PropertyLifecycleContext;
import net.jqwik.api.lifecycle.SkipExecutionHook;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Lets the two test engines skip tests that are known to fail; both find these hooks by the service files of the tests. */
public final class KnownRedHooks {
    private KnownRedHooks() { }

    /** Hook for JUnit tests. */
    public static final class Tests implements ExecutionCondition {
        @Override
        public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
            KnownRed.Line line = context.getTestClass().map(type ->
                    KnownRed.naming(type, context.getTestMethod().map(method -> method.getName()).orElse(null))).orElse(null);
            return line == null ? ConditionEvaluationResult.enabled("not known red") : ConditionEvaluationResult.disabled("known red: " + line);
        }
    }

    /** Hook for jqwik properties; the engine calls it for each property. */
    public static final class Properties implements SkipExecutionHook {
        @Override
        public SkipResult shouldBeSkipped(LifecycleContext context) {
            if (!(context instanceof PropertyLifecycleContext property)) { return SkipResult.doNotSkip(); }
            KnownRed.Line line = KnownRed.naming(property.containerClass(), property.targetMethod().getName());
            return line == null ? SkipResult.doNotSkip() : SkipResult.skip("known red: " + line);
        }

        @Override
        public PropagationMode propagateTo() { return PropagationMode.ALL_DESCENDANTS; }
    }
}

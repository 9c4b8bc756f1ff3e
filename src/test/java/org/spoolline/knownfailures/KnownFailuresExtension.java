package org.spoolline.knownfailures;

import java.lang.reflect.Method;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Runs the tests listed in KNOWN-RED.txt like all others. If a listed test fails, it is printed and counted as skipped.
 * If it passes, the run fails, so that the entry is removed once the fault is fixed. A listed parameterized test passes
 * if all of its cases pass.
 */
public final class KnownFailuresExtension implements InvocationInterceptor, AfterAllCallback {
    private final KnownFailuresList list;
    private final Consumer<String> log;
    /** For each listed parameterized test that has run at least one case: whether any case has failed. */
    private final Map<KnownFailuresList.Entry, Boolean> failedCases = new ConcurrentHashMap<>();

    /** Creates an extension with the list of the repository; JUnit calls this. */
    public KnownFailuresExtension() {
        this(KnownFailuresList.read(), System.out::println);
    }

    KnownFailuresExtension(KnownFailuresList list, Consumer<String> log) {
        this.list = list;
        this.log = log;
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> test, ExtensionContext extensionContext)
            throws Throwable {
        Method method = test.getExecutable();
        run(method.getDeclaringClass().getName(), method.getName(), invocation);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> test, ExtensionContext extensionContext)
            throws Throwable {
        Method method = test.getExecutable();
        runCase(method.getDeclaringClass().getName(), method.getName(), invocation);
    }

    @Override
    public void afterAll(ExtensionContext context) {
        failOnPassedTests(context.getRequiredTestClass().getName());
    }

    /** Runs a test; if it is listed, its failure aborts it and its success fails the run. */
    void run(String className, String methodName, Invocation<Void> invocation) throws Throwable {
        Optional<KnownFailuresList.Entry> listed = list.find(className, methodName);
        if (listed.isEmpty()) {
            invocation.proceed();
            return;
        }
        proceed(listed.get(), invocation);
        throw passedError(listed.get());
    }

    /** Runs one case of a parameterized test; if the test is listed, a failed case is counted as skipped. */
    void runCase(String className, String methodName, Invocation<Void> invocation) throws Throwable {
        Optional<KnownFailuresList.Entry> listed = list.find(className, methodName);
        if (listed.isEmpty()) {
            invocation.proceed();
            return;
        }
        failedCases.putIfAbsent(listed.get(), false);
        try {
            proceed(listed.get(), invocation);
        } catch (TestAbortedException failure) {
            failedCases.put(listed.get(), true);
            throw failure;
        }
    }

    /** Throws if a listed parameterized test of the class has passed, that is if none of its cases has failed. */
    void failOnPassedTests(String className) {
        failedCases.forEach((entry, failed) -> {
            if (!failed && entry.className().equals(className)) {
                throw passedError(entry);
            }
        });
    }

    /** Runs a listed test; its failure is printed and counted as skipped. */
    private void proceed(KnownFailuresList.Entry entry, Invocation<Void> invocation) {
        try {
            invocation.proceed();
        } catch (Throwable failure) {
            String report =
                    "KNOWN RED: " + entry.test() + " | " + entry.cause() + " | " + entry.issue() + " | " + failure;
            log.accept(report);
            throw new TestAbortedException(report, failure);
        }
    }

    private static AssertionError passedError(KnownFailuresList.Entry entry) {
        return new AssertionError(entry.test() + " passes: remove it from KNOWN-RED.txt");
    }
}

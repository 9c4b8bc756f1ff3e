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
 * Runs the tests listed in KNOWN-RED.txt like all others. A listed one that fails is printed and counted as skipped; one
 * that passes fails the run, so that the list never outlives the fault. A listed parameterized test passes when all of
 * its cases do.
 */
public final class KnownFailuresExtension implements InvocationInterceptor, AfterAllCallback {
    private final KnownFailuresList list;
    private final Consumer<String> log;
    /** For each listed parameterized test of which a case has run: whether a case has failed. */
    private final Map<KnownFailuresList.Entry, Boolean> failedCases = new ConcurrentHashMap<>();

    /** Reads the list of the repository. */
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

    /** Runs one test, and inverts its outcome if it is listed. */
    void run(String className, String methodName, Invocation<Void> invocation) throws Throwable {
        Optional<KnownFailuresList.Entry> listed = list.find(className, methodName);
        if (listed.isEmpty()) {
            invocation.proceed();
            return;
        }
        proceed(listed.get(), invocation);
        throw passedError(listed.get());
    }

    /** Runs one case of a parameterized test; a case that fails is not counted if the test is listed. */
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

    /** Fails for a listed parameterized test of the class none of whose cases has failed. */
    void failOnPassedTests(String className) {
        failedCases.forEach((entry, failed) -> {
            if (!failed && entry.className().equals(className)) {
                throw passedError(entry);
            }
        });
    }

    /** Runs a listed test; its failure is reported and does not count. */
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
        return new AssertionError(entry.test() + " passes: take it off KNOWN-RED.txt");
    }
}

package org.spoolline.knownfailures;

import java.lang.reflect.Method;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Runs the tests listed in KNOWN-RED.txt like all others. A listed one that fails is printed and counted as skipped; one
 * that passes fails the run, so that the list never outlives the fault.
 */
public final class KnownFailuresExtension implements InvocationInterceptor {
    private final KnownFailuresList list;
    private final Consumer<String> log;

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

    /** Runs one test, and inverts its outcome if it is listed. */
    void run(String className, String methodName, Invocation<Void> invocation) throws Throwable {
        Optional<KnownFailuresList.Entry> listed = list.find(className, methodName);
        if (listed.isEmpty()) {
            invocation.proceed();
            return;
        }
        String test = listed.get().test();
        try {
            invocation.proceed();
        } catch (Throwable failure) {
            String report = "KNOWN RED: " + test + " | " + listed.get().cause() + " | "
                    + listed.get().issue() + " | " + failure;
            log.accept(report);
            throw new TestAbortedException(report, failure);
        }
        throw new AssertionError(test + " passes: take it off KNOWN-RED.txt");
    }
}

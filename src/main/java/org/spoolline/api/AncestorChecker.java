package org.spoolline.api;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.spoolline.job.JobReader;
import org.spoolline.job.LruJobCache;
import org.spoolline.job.StoredJob;
import org.spoolline.job.TerminalRecord;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Tells whether a job that a waiting one needs, directly or through others, is cancelled. The state service is asked, so
 * that the answer does not depend on a leader; that a live job is not cancelled may be remembered for a bounded time,
 * well under {@code cancel_s}, and that one is cancelled or done, for ever.
 */
final class AncestorChecker {
    /** What is known of all jobs that one needs, from the weakest finding to the one that decides. */
    enum Verdict {
        /** None was cancelled when it was read. */
        NONE_CANCELLED,
        CANCELLED,
        /** Some could not be read. */
        RATE_LIMITED,
        STORE_UNREACHABLE,
        /** A direct prerequisite was never accepted, or is a service, which never is done. */
        UNSATISFIABLE
    }

    /** A live job that was not cancelled when the read was sent, and what it waits for itself. */
    private record Live(long asOf, List<String> dependencies, boolean service) {}

    private final EventLoop loop;
    private final JobReader reader;
    private final long rememberedMs;
    private final Map<String, Live> live = new LruJobCache<>();
    /** Jobs seen cancelled while live; nothing undoes that. */
    private final Map<String, Boolean> cancelled = new LruJobCache<>();

    AncestorChecker(EventLoop loop, JobReader reader, long rememberedMs) {
        this.loop = loop;
        this.reader = reader;
        this.rememberedMs = rememberedMs;
    }

    /** A job's live value as it was in the state service when a request sent then was answered. */
    void observe(Pipeline job, long asOf) {
        if (job.cancelled()) {
            cancelled.put(job.jobId(), true);
        } else {
            boolean service = job.spec().shape() == Submission.Shape.SERVICE;
            live.put(job.jobId(), new Live(asOf, job.spec().dependencies(), service));
        }
    }

    /**
     * Looks through all jobs needed; {@code done} hears the verdict once. They are read in the order given, so that the
     * same submission sends the same requests in any run: the order of {@code Set.copyOf} differs from one to the next.
     */
    void check(Collection<String> prerequisites, Consumer<Verdict> done) {
        new Walk(new LinkedHashSet<>(prerequisites), done).goOn();
    }

    /** One look through the jobs needed. Reads go side by side; a chain of any length takes no deeper stack. */
    private final class Walk {
        private final Set<String> direct;
        private final Consumer<Verdict> done;
        private final Set<String> visited = new HashSet<>();
        private final Deque<String> toVisit = new ArrayDeque<>();
        private int underWay;
        private boolean visiting;
        private Verdict worst = Verdict.NONE_CANCELLED;

        Walk(Set<String> direct, Consumer<Verdict> done) {
            this.direct = direct;
            this.done = done;
            toVisit.addAll(direct);
        }

        void goOn() {
            if (visiting) {
                // A read that failed at once, out of the loop below, which goes on by itself.
                return;
            }
            visiting = true;
            while (!toVisit.isEmpty()) {
                String jobId = toVisit.remove();
                if (visited.add(jobId)) {
                    visit(jobId);
                }
            }
            visiting = false;
            if (underWay == 0) {
                done.accept(worst);
            }
        }

        private void visit(String jobId) {
            TerminalRecord record = reader.cachedTerminalRecord(jobId).orElse(null);
            Live known = live.get(jobId);
            if (cancelled.containsKey(jobId) || record != null && !record.done()) {
                note(Verdict.CANCELLED);
            } else if (record == null && known != null && loop.now() - known.asOf() < rememberedMs) {
                visitPrerequisites(jobId, known);
            } else if (record == null) {
                read(jobId);
            }
        }

        private void visitPrerequisites(String jobId, Live known) {
            if (known.service() && direct.contains(jobId)) {
                note(Verdict.UNSATISFIABLE);
            }
            toVisit.addAll(known.dependencies());
        }

        private void read(String jobId) {
            underWay++;
            long sent = loop.now();
            reader.read(
                    jobId,
                    job -> {
                        underWay--;
                        found(jobId, job, sent);
                        goOn();
                    },
                    failure -> {
                        underWay--;
                        note(verdictOf(failure));
                        goOn();
                    });
        }

        private static Verdict verdictOf(JobReader.Failure failure) {
            return failure == JobReader.Failure.RATE_LIMITED ? Verdict.RATE_LIMITED : Verdict.STORE_UNREACHABLE;
        }

        private void found(String jobId, StoredJob job, long sent) {
            if (job instanceof StoredJob.Live stored) {
                Pipeline value = Pipeline.decode(stored.value());
                observe(value, sent);
                if (value.cancelled()) {
                    note(Verdict.CANCELLED);
                } else {
                    visitPrerequisites(jobId, live.get(jobId));
                }
            } else if (!(job instanceof StoredJob.Terminal terminal)) {
                note(Verdict.UNSATISFIABLE);
            } else if (!terminal.record().done()) {
                note(Verdict.CANCELLED);
            }
        }

        private void note(Verdict verdict) {
            if (verdict.compareTo(worst) > 0) {
                worst = verdict;
            }
        }
    }
}

package org.spoolline.intake;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.spoolline.net.Loop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Tells whether a job that a waiting one needs, directly or through others, is cancelled. The state service is asked, so
 * that the answer does not depend on a leader; that a live job is not cancelled may be remembered for a bounded time,
 * well under {@code cancel_s}, and that one is cancelled or done, for ever.
 */
final class Ancestors {
    /** What is known of all jobs that one needs, from the weakest finding to the one that decides. */
    enum Verdict {
        /** None was cancelled when it was read. */
        NONE_CANCELLED,
        CANCELLED,
        /** Some could not be read. */
        OUT_OF_BUDGET,
        NOT_REACHED,
        /** A direct prerequisite was never accepted, or is a service, which never is done. */
        NEVER_DONE
    }

    /** A live job that was not cancelled when the read was sent, and what it waits for itself. */
    private record Live(long asOf, List<String> prerequisites, boolean service) {}

    private final Loop loop;
    private final JobReader reader;
    private final long rememberedMs;
    private final Map<String, Live> live = new RecentlyUsed<>();
    /** Jobs seen cancelled while live; nothing undoes that. */
    private final Map<String, Boolean> cancelled = new RecentlyUsed<>();

    Ancestors(Loop loop, JobReader reader, long rememberedMs) {
        this.loop = loop;
        this.reader = reader;
        this.rememberedMs = rememberedMs;
    }

    /** A job's live value as it was in the state service when a request sent then was answered. */
    void seen(Pipeline job, long asOf) {
        if (job.cancelled()) {
            cancelled.put(job.uid(), true);
        } else {
            boolean service = job.spec().shape() == Submission.Shape.SERVICE;
            live.put(job.uid(), new Live(asOf, job.spec().prerequisites(), service));
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
                String uid = toVisit.remove();
                if (visited.add(uid)) {
                    visit(uid);
                }
            }
            visiting = false;
            if (underWay == 0) {
                done.accept(worst);
            }
        }

        private void visit(String uid) {
            FinalRecord record = reader.knownRecord(uid);
            Live known = live.get(uid);
            if (cancelled.containsKey(uid) || record != null && !record.done()) {
                note(Verdict.CANCELLED);
            } else if (record == null && known != null && loop.now() - known.asOf() < rememberedMs) {
                visitPrerequisites(uid, known);
            } else if (record == null) {
                read(uid);
            }
        }

        private void visitPrerequisites(String uid, Live known) {
            if (known.service() && direct.contains(uid)) {
                note(Verdict.NEVER_DONE);
            }
            toVisit.addAll(known.prerequisites());
        }

        private void read(String uid) {
            underWay++;
            long sent = loop.now();
            reader.read(
                    uid,
                    job -> {
                        underWay--;
                        found(uid, job, sent);
                        goOn();
                    },
                    failure -> {
                        underWay--;
                        note(verdictOf(failure));
                        goOn();
                    });
        }

        private static Verdict verdictOf(JobReader.Failure failure) {
            return failure == JobReader.Failure.OUT_OF_BUDGET ? Verdict.OUT_OF_BUDGET : Verdict.NOT_REACHED;
        }

        private void found(String uid, StoredJob job, long sent) {
            if (job.live() != null) {
                Pipeline value = Pipeline.decode(job.live());
                seen(value, sent);
                if (value.cancelled()) {
                    note(Verdict.CANCELLED);
                } else {
                    visitPrerequisites(uid, live.get(uid));
                }
            } else if (job.last() == null) {
                note(Verdict.NEVER_DONE);
            } else if (!job.last().done()) {
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

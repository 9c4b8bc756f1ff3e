package org.spoolline.intake;

import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.placement.SchedulingCycles;
import org.spoolline.state.StateClient;

/**
 * Reads jobs from the state service: the live value first, then the lasting record, since a job moves between them in
 * this direction only. Lasting records never change and are remembered.
 */
final class JobReader {
    /** Why a job could not be read. */
    enum Failure {
        OUT_OF_BUDGET,
        NOT_REACHED
    }

    /** Who asked for a job. */
    interface Receiver {
        void read(StoredJob job);

        void failed(Failure failure);
    }

    private final StateClient state;
    private final Map<String, FinalRecord> records = new RecentlyUsed<>();

    JobReader(StateClient state) {
        this.state = state;
    }

    /** The lasting record if it was read here before, or null. */
    FinalRecord knownRecord(String uid) {
        return records.get(uid);
    }

    void read(String uid, Receiver receiver) {
        if (!state.admit(0)) {
            receiver.failed(Failure.OUT_OF_BUDGET);
            return;
        }
        state.get(SchedulingCycles.JOBS + uid, live -> {
            if (!live.reached()) {
                receiver.failed(Failure.NOT_REACHED);
            } else if (live.item().exists()) {
                receiver.read(new StoredJob(live.item().value(), live.item().version(), null));
            } else {
                readRecord(uid, receiver);
            }
        });
    }

    private void readRecord(String uid, Receiver receiver) {
        state.force(0);
        state.get(SchedulingCycles.FINALS + uid, last -> {
            if (!last.reached()) {
                receiver.failed(Failure.NOT_REACHED);
                return;
            }
            FinalRecord record =
                    last.item().exists() ? FinalRecord.decode(last.item().value()) : null;
            if (record != null) {
                records.put(uid, record);
            }
            receiver.read(new StoredJob(null, 0, record));
        });
    }

    /** A receiver for callers that treat every failure alike. */
    static Receiver receiver(Consumer<StoredJob> read, Consumer<Failure> failed) {
        return new Receiver() {
            @Override
            public void read(StoredJob job) {
                read.accept(job);
            }

            @Override
            public void failed(Failure failure) {
                failed.accept(failure);
            }
        };
    }
}

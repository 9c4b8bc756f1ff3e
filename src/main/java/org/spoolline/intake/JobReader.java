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

    private final StateClient state;
    private final Map<String, FinalRecord> records = new RecentlyUsed<>();

    JobReader(StateClient state) {
        this.state = state;
    }

    /** The lasting record if it was read here before, or null. */
    FinalRecord knownRecord(String uid) {
        return records.get(uid);
    }

    /** Reads a job; one of the two hears of it, at once where the budget is spent. */
    void read(String uid, Consumer<StoredJob> found, Consumer<Failure> failed) {
        if (!state.admit(0)) {
            failed.accept(Failure.OUT_OF_BUDGET);
            return;
        }
        state.get(SchedulingCycles.JOBS + uid, live -> {
            if (!live.reached()) {
                failed.accept(Failure.NOT_REACHED);
            } else if (live.item().exists()) {
                found.accept(new StoredJob(live.item().value(), live.item().version(), null));
            } else {
                readRecord(uid, found, failed);
            }
        });
    }

    private void readRecord(String uid, Consumer<StoredJob> found, Consumer<Failure> failed) {
        state.force(0);
        state.get(SchedulingCycles.FINALS + uid, last -> {
            if (!last.reached()) {
                failed.accept(Failure.NOT_REACHED);
                return;
            }
            FinalRecord record =
                    last.item().exists() ? FinalRecord.decode(last.item().value()) : null;
            if (record != null) {
                records.put(uid, record);
            }
            found.accept(new StoredJob(null, 0, record));
        });
    }
}

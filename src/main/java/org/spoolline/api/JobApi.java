package org.spoolline.api;

import java.util.function.Consumer;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.Settings;
import org.spoolline.job.JobReader;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.upgrade.VersionRegistry;

/**
 * The HTTP API for users: submission, status and cancellation of jobs. Every controller serves it, whether it is the
 * leader or not, by reading from and committing to the key-value store directly. Responses report only committed state.
 * This class routes the requests to their handlers. All methods are called on the event loop.
 */
public final class JobApi {
    private static final String SUBMISSIONS_PATH = "/submissions";
    private static final String JOB_PATH_PREFIX = SUBMISSIONS_PATH + "/";
    private static final String CANCEL_SUFFIX = "/abort";

    private final SubmissionHandler submissionHandler;
    private final StatusHandler statusHandler;
    private final CancellationHandler cancellationHandler;

    /** {@code notifier} notifies the leader of each cancellation that is to be confirmed to a client. */
    public JobApi(
            EventLoop loop,
            Settings settings,
            KeyValueStoreClient store,
            MachineTypeCatalog catalog,
            VersionRegistry versions,
            CancellationNotifier notifier,
            Counters counters) {
        JobReader reader = new JobReader(store);
        AncestorChecker ancestorChecker = new AncestorChecker(loop, reader, settings.ancestorCacheMs());
        CancellationConfirmer confirmer = new CancellationConfirmer(loop, settings, notifier, counters);
        cancellationHandler = new CancellationHandler(store, reader, notifier, confirmer);
        statusHandler = new StatusHandler(loop, store, reader, ancestorChecker, cancellationHandler, confirmer);
        SubmissionValidator validator = new SubmissionValidator(settings, catalog);
        submissionHandler =
                new SubmissionHandler(loop, store, versions, validator, ancestorChecker, statusHandler, counters);
    }

    /** True if the path belongs to this API. */
    public static boolean serves(String path) {
        return path.equals(SUBMISSIONS_PATH) || path.startsWith(JOB_PATH_PREFIX);
    }

    /**
     * Handles a request for a path that this API {@link #serves}. The responder receives exactly one response on the
     * event loop, possibly before this method returns.
     */
    public void handle(Http.Request request, Consumer<Http.Response> responder) {
        if (!request.path().equals(SUBMISSIONS_PATH)) {
            handleJob(request, responder);
        } else if (request.method().equals("POST")) {
            submissionHandler.submit(request.body(), responder);
        } else {
            responder.accept(JobResponseCodec.usePost());
        }
    }

    private void handleJob(Http.Request request, Consumer<Http.Response> responder) {
        String jobPath = request.path().substring(JOB_PATH_PREFIX.length());
        boolean cancellation = jobPath.endsWith(CANCEL_SUFFIX);
        String jobId = cancellation ? jobPath.substring(0, jobPath.length() - CANCEL_SUFFIX.length()) : jobPath;
        if (!SubmissionCodec.isValidJobId(jobId)) {
            responder.accept(JobResponseCodec.noSuchJob());
        } else if (cancellation && request.method().equals("POST")) {
            cancellationHandler.cancel(jobId, responder);
        } else if (!cancellation && request.method().equals("GET")) {
            statusHandler.status(jobId, responder);
        } else {
            responder.accept(JobResponseCodec.methodNotAllowed());
        }
    }
}

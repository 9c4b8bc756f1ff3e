package org.spoolline.api;

import java.util.List;
import org.spoolline.net.Http;

/**
 * The cached status of a job that was not in a terminal state when it was last read. It is valid as long as the job's
 * live value has the same version and none of the job's ancestors is cancelled.
 *
 * @param version      the version of the live value that the status was read from
 * @param response     the response with that status
 * @param dependencies the dependencies that the job waits for; empty if there are none or the job is cancelled
 */
record LiveStatus(long version, Http.Response response, List<String> dependencies) {}

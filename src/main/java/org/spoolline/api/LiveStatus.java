package org.spoolline.api;

import java.util.List;
import org.spoolline.net.Http;

/**
 * The last status of a job that was not in a terminal state. It holds as long as the job's live value is of the same
 * version and none of the job's ancestors is cancelled.
 *
 * @param version      the version of the live value that the status was read from
 * @param response     the response with that status
 * @param dependencies the jobs that the job waits for; empty if there are none, or if the job is cancelled anyway
 */
record LiveStatus(long version, Http.Response response, List<String> dependencies) {}

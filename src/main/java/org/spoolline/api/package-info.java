/**
 * The HTTP API of users: submission, status and cancellation of jobs, answered from what is committed in the key-value
 * store. Requests come in through {@link org.spoolline.api.JobApi}.
 */
package org.spoolline.api;

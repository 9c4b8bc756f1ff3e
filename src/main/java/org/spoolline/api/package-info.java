/**
 * The HTTP API for users: submission, status and cancellation of jobs, served from the state committed in the key-value
 * store. The entry point is {@link org.spoolline.api.JobApi}.
 */
package org.spoolline.api;

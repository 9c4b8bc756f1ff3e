/**
 * The HTTP API of users: submission, status and cancellation of jobs, answered from what is committed in the key-
 * value store.
 */
package org.spoolline.api;

/**
 * Handles the tests listed in KNOWN-RED.txt as known to fail: each run prints them, and fails if one of them passes.
 */
package org.spoolline.knownfailures;

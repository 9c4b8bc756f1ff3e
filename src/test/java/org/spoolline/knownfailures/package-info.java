/** Tests that are known to fail: listed in KNOWN-RED.txt, printed by every run, and no longer listed once they pass. */
package org.spoolline.knownfailures;

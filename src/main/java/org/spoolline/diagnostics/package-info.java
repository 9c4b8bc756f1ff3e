/** What a controller counts and says of itself, so that an incident can be told from its logs and counters. */
package org.spoolline.diagnostics;

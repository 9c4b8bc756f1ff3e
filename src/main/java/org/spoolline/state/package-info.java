/** The state service's client, its limits and this node's share of its budget. */
package org.spoolline.state;

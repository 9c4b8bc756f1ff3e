/** Users' requests: submissions, questions and cancellations, answered from what is committed. */
package org.spoolline.intake;

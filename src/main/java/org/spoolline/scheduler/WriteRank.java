package org.spoolline.scheduler;

/** The order in which pending writes are sent while the write budget is limited, most urgent first. */
enum WriteRank {
    /** It has waited so long that it goes first, whatever it is: no job starves. */
    STARVED,
    /** It launches tasks of an urgent job. */
    URGENT_LAUNCHES,
    /** The job reaches a terminal state, for which a user waits. */
    TERMINAL,
    /** It launches tasks. */
    LAUNCHES,
    /** It only records that some tasks have ended, which can wait so that several of a wide array share one write. */
    COMPLETIONS_ONLY,
    /** It was refused before: last, so that it keeps no other from being written. */
    ISOLATED
}

/**
 * Greatest age of the state that an entry shares with others, in ms; with older state it reports a failure. A change
 * has to be in force 2 s after its acknowledgement. An entry notices a silent sharer after the wait and the margin of
 * the call (0.2 s), which leaves 0.25 s to read the store itself.
 */
export const MAX_SHARED_AGE_MS = 950;

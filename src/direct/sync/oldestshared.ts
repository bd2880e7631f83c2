/**
 * A change has to be in force 2 s after it was acknowledged. One who shares knows the store as it was this
 * long ago at most, or says that it does not; whoever asks it learns of its silence after the wait and the
 * margin of the call (0.2 s). Both together leave 0.25 s to ask the store itself. In ms.
 */
export const OLDEST_SHARED_MS = 950;

/**
 * `serving`: accepts work. `finishing`: accepts no new work; running requests finish. `placing`: nothing runs; its
 * models stay until they are placed elsewhere or the timeout expires. `gone`: the drain is complete.
 */
export type DrainPhase = 'serving' | 'finishing' | 'placing' | 'gone';

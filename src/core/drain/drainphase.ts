/**
 * `serving`: takes work. `finishing`: takes no new work, what runs is finished. `placing`: nothing runs; its
 * models stay until the planner has them elsewhere, or the time is up. `gone`: it has let go of them.
 */
export type DrainPhase = 'serving' | 'finishing' | 'placing' | 'gone';

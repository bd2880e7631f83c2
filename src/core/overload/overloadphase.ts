/** `open` accepts every connection; `shedding` closes those that wait in the accept queue. */
export type OverloadPhase = 'open' | 'shedding';

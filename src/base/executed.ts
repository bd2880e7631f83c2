/** Whether a request ran. `no` is a promise; `unknown` is the honest answer when nobody can tell. */
export type Executed = 'no' | 'unknown' | 'yes';

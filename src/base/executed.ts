/** Whether a request ran. `no` is guaranteed; `unknown` means that it cannot be determined. */
export type Executed = 'no' | 'unknown' | 'yes';

/** What a log line is about: a request that succeeded, another one, or the state of the process. */
export type LineKind = 'ordinary' | 'request' | 'state';

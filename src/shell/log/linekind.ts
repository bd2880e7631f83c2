/** What a log line is about: a request that succeeded, the state of the process, a lost connection, or any other decision. */
export type LineKind = 'ordinary' | 'state' | 'connection' | 'decision';
